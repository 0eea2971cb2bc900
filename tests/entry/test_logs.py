"""Tests of the non-blocking log and of the metrics."""

import os
import unittest

from persimmonpath_entry.transport import logs
from persimmonpath_entry.transport import metrics


class LogTest(unittest.TestCase):
    """Tests the format, the line budget and the buffer of the log."""

    def setUp(self):
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)
        self.log = logs.Log("vm-1", self.writer)

    def read(self):
        """Returns what the log has written to the pipe."""
        return os.read(self.reader, 1 << 20).decode()

    def test_a_line_names_event_and_fields(self):
        self.log.write("run_placed", task="a.0.0.1", reason='two "words"\n')
        self.log.flush()
        self.assertIn(
            "node=vm-1 event=run_placed task=a.0.0.1 reason=\"two 'words' \"",
            self.read(),
        )

    def test_a_stalled_reader_drops_lines_without_blocking(self):
        """A full pipe must not block the process."""
        for _ in range(40):
            self.log._second_started = 0.0
            for number in range(400):
                self.log.write("peak", number=number, text="x" * 60)
            self.log.flush()
        self.assertLessEqual(len(self.log._lines), logs.BUFFER_LINES)
        self.assertGreater(self.log.left_out_total, 0)
        before = self.read()
        self.log.flush()
        lines = (before + self.read()).splitlines()
        truncated = [line for line in lines if not line.startswith("t=")]
        self.assertEqual(truncated, [])

    def test_long_values_hold_little_memory(self):
        """Paths of 16 kB in buffered lines held 56 MB of a VM's memory."""
        for _ in range(40):
            self.log._second_started = 0.0
            for _ in range(400):
                self.log.write("request_unrouted", path="/a" * 8000)
            self.log.flush()
        held = sum(len(line) for line in self.log._lines)
        self.assertLess(held, 4 << 20)
        self.assertGreater(held, 0)

    def test_a_stalled_reader_holds_no_more_with_time(self):
        """Each flush joined 39 further lines to one that wasn't written."""
        for _ in range(400):
            self.log._second_started = 0.0
            for number in range(100):
                self.log.write("peak", number=number, text="x" * 200)
            self.log.flush()
        held = sum(len(line) for line in self.log._lines)
        self.assertLess(held, logs.BUFFER_LINES * 300)

    def test_dropped_lines_are_counted_by_event(self):
        for _ in range(logs.BUDGET_PER_S + 7):
            self.log.write("peak")
        self.log._second_started = 0.0
        self.log.write("idle")
        self.log.flush()
        self.assertIn("event=lines_left_out peak=7", self.read())

    def test_lines_of_an_id_are_complete_or_missing(self):
        """Lines dropped at random left every history with gaps at peak load."""
        ids = [f"{number * 655:04x}000000000000" for number in range(100)]
        for second in range(2):
            self.log._second_started = 0.0
            for _ in range(20):
                for submission_id in ids:
                    self.log.write("run_placed", task=f"{submission_id}.0.0.1")
            if second == 0:
                self.log._lines.clear()
        counts = [
            sum(submission_id.encode() in line for line in self.log._lines)
            for submission_id in ids
        ]
        self.assertEqual(set(counts), {0, 20})
        self.log._second_started = 0.0
        self.log.write("run_placed", task=f"{ids[-1]}.0.0.1")
        self.log._second_started = 0.0
        self.log.write("run_ended", task=f"{ids[-1]}.0.0.1")
        self.log.flush()
        self.assertIn(f"event=run_ended task={ids[-1]}", self.read())

    def test_failures_have_a_reserve(self):
        """Lines about failures are logged when the budget is used up."""
        for _ in range(logs.BUDGET_PER_S + 7):
            self.log.write("peak")
        self.log.warn("worker_lost")
        self.log.flush()
        self.assertIn("event=worker_lost", self.read())


class MetricsTest(unittest.TestCase):
    """Tests the text that the metrics endpoint serves."""

    def test_metrics_are_rendered_in_the_prometheus_format(self):
        measures = metrics.Metrics()
        measures.count('starts{outcome="accepted"}')
        measures.observe('latency{call="tx"}', 7.0)
        text = measures.render().decode()
        self.assertIn('persimmon_starts{outcome="accepted"} 1', text)
        self.assertIn(
            'persimmon_latency_ms_bucket{call="tx",le="10"} 1.0', text
        )
        self.assertIn('persimmon_latency_ms_count{call="tx"} 1.0', text)
