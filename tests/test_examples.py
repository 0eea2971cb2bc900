"""Validates the inventories and rules in examples/."""

import pathlib
import tomllib
import unittest

from persimmonpath import inventory
from persimmonpath import rules

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"


class ExamplesTest(unittest.TestCase):
    """Guards against examples that the parsers no longer accept."""

    def test_inventories_and_rules_are_valid(self):
        for name, workers in (("tafelberg", 27), ("teeblatt", 28)):
            with self.subTest(name):
                text = (EXAMPLES / name / "inventory.csv").read_text()
                parsed = inventory.assign_shards(inventory.parse_csv(text, 2))
                self.assertEqual(len(parsed.workers), workers)
                text = (EXAMPLES / name / "rules.toml").read_text()
                content = rules.Rules.model_validate(tomllib.loads(text))
                racks = {worker.rack for worker in parsed.workers}
                for rule in content.placement:
                    self.assertLessEqual(set(rule.racks), racks)
