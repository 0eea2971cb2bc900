"""Tests of trace contexts and spans."""

import unittest

from persimmonpath import spans
from persimmonpath import timers

TRACE = "0af7651916cd43dd8448eb211c80319c"
SPAN = "b7ad6b7169203331"


class TraceparentTest(unittest.TestCase):
    """Tests the parsing of `traceparent` headers."""

    def test_valid_headers_are_parsed(self):
        for text in (
            f"00-{TRACE}-{SPAN}-01",
            f" 00-{TRACE}-{SPAN}-00 ",
            f"01-{TRACE}-{SPAN}-01-later-version",
        ):
            self.assertEqual(
                spans.parse_traceparent(text), spans.Context(TRACE, SPAN)
            )

    def test_invalid_headers_are_ignored(self):
        for text in (
            "",
            "x" * 10_000,
            f"ff-{TRACE}-{SPAN}-01",
            f"00-{TRACE}-{SPAN}-01-more",
            f"00-{TRACE.upper()}-{SPAN}-01",
            f"00-{'0' * 32}-{SPAN}-01",
            f"00-{TRACE}-{'0' * 16}-01",
            f"00-{TRACE}-{SPAN}",
        ):
            self.assertIsNone(spans.parse_traceparent(text), text)


class TracerTest(unittest.TestCase):
    """Tests enabled and disabled tracers."""

    def setUp(self):
        self.timers = timers.create_manual_timers()
        self.events = []

    def create(self, enabled):
        return spans.Tracer(
            enabled,
            self.timers.now,
            lambda _, **fields: self.events.append(fields),
        )

    def test_span_reports_parent_duration_and_outcome(self):
        span = self.create(True).start("hop", spans.Context(TRACE, SPAN))
        self.timers.advance(0.25)
        span.end("failed", id="x")
        (event,) = self.events
        self.assertEqual(event["trace"], TRACE)
        self.assertEqual(event["parent"], SPAN)
        self.assertEqual(event["duration_ms"], 250.0)
        self.assertEqual((event["outcome"], event["id"]), ("failed", "x"))
        self.assertEqual(span.trace, f"{TRACE}-{event['span']}")

    def test_disabled_tracer_propagates_the_trace(self):
        """A trace must continue through an entry VM that writes no spans."""
        span = self.create(False).start("hop", spans.Context(TRACE, SPAN))
        span.end("done")
        self.assertEqual(span.trace, f"{TRACE}-{SPAN}")
        self.assertEqual(self.events, [])

    def test_disabled_tracer_starts_no_trace(self):
        self.assertEqual(self.create(False).start("hop", None).trace, "")
