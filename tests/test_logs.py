"""Tests of the format of log lines."""

import logging
import sys
import unittest

from persimmonpath import events
from persimmonpath_daemon import logs


class EventTest(unittest.TestCase):
    def test_value_cannot_break_the_line_or_add_a_field(self):
        line = events.format_event("x", reason='a\nlevel=error "b"', id="a-1#2")
        self.assertEqual(
            line, 'event=x reason="a\\nlevel=error \\"b\\"" id=a-1#2'
        )

    def test_long_value_is_truncated(self):
        line = events.format_event("x", body="a" * 100_000)
        self.assertLess(len(line), 2 * events.MAX_VALUE_LENGTH)

    def test_field_without_value_is_omitted(self):
        self.assertEqual(events.format_event("x", a=None, b=""), 'event=x b=""')


class FormatterTest(unittest.TestCase):
    def format(self, message, exc_info=None, args=()):
        record = logging.LogRecord(
            "absl", logging.INFO, "f", 1, message, args, exc_info
        )
        return logs.EventFormatter().format(record)

    def test_exception_stays_on_the_line_of_its_event(self):
        try:
            raise ValueError("two\nlines")
        except ValueError:
            line = self.format("event=x", sys.exc_info())
        self.assertNotIn("\n", line)
        self.assertIn('event=x error="ValueError: two\\nlines" at=test_', line)

    def test_message_of_a_library_becomes_an_event(self):
        line = self.format("something\nhappened")
        self.assertIn('level=info event=log message="something happened"', line)

    def test_values_of_an_event_are_quoted(self):
        """Guards against an error text that is parsed as further fields."""
        error = ValueError("refused level=debug")
        line = self.format("event=x error=%s n=%d", args=(error, 3))
        self.assertTrue(
            line.endswith('event=x error="refused level=debug" n=3'), line
        )
