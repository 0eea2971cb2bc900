"""Runs the example of docs/embedding.md."""

import contextlib
import io
import pathlib
import re
import unittest

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "embedding.md"


class EmbeddingTest(unittest.TestCase):
    def test_example_prints_what_the_page_shows(self):
        """Guards against an example that the library no longer matches."""
        text = PAGE.read_text(encoding="utf-8")
        code = re.search(r"```python\n(.*?)```", text, re.DOTALL)[1]
        shown = re.search(r"```text\n(.*?)```", text, re.DOTALL)[1]
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            exec(compile(code, str(PAGE), "exec"), {"__name__": "example"})
        self.assertEqual(output.getvalue(), shown)
