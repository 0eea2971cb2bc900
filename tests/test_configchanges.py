"""Differences between versions of the configuration."""

import unittest

import hypothesis
from hypothesis import strategies

from persimmonpath import configchanges
from persimmonpath import configuration
from persimmonpath import inventory
from persimmonpath import rules
from persimmonpath import wire
from tests import profiles  # noqa: F401


def create_worker(name, cores):
    return inventory.Worker(
        name=name,
        zone="zone-a",
        rack="rack-1",
        shard=0,
        host="127.0.0.1",
        port=7400,
        cpu_millis=cores * 1000,
        memory_mib=1024,
    )


WORKERS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from([f"worker-{n}" for n in range(8)]),
        strategies.integers(1, 3),
    ),
    unique_by=lambda item: item[0],
)
SHARES = strategies.sampled_from([0.1, 0.2])


def create_config(version, workers, share):
    return configuration.Configuration(
        version,
        "operator",
        inventory.Inventory(
            zones=(inventory.Zone(name="zone-a"),),
            workers=tuple(create_worker(*item) for item in workers),
        ),
        rules.Rules(policy=rules.Policy(retry_share=share)),
    )


class ConfigChangeTest(unittest.TestCase):
    """Applying a change must give exactly the committed version."""

    @hypothesis.given(WORKERS, WORKERS, SHARES, SHARES)
    def test_applied_change_gives_the_committed_version(
        self, old, new, old_share, new_share
    ):
        before = create_config(1, old, old_share)
        after = create_config(2, new, new_share)
        change = configchanges.compute_change(before, after)
        sent = wire.decode(configchanges.ConfigChange, wire.encode(change))
        self.assertEqual(configchanges.apply_change(before, sent), after)

    def test_change_of_one_worker_is_small(self):
        workers = [(f"worker-{n}", 1) for n in range(880)]
        before = create_config(1, workers, 0.1)
        workers[5] = ("worker-5", 2)
        after = create_config(2, workers, 0.1)
        change = configchanges.compute_change(before, after)
        self.assertEqual(len(change.changed), 1)
        self.assertIsNone(change.order)
