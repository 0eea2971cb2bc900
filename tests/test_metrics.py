"""Tests of counters, latencies and gauges."""

import unittest

from persimmonpath import metrics


class RegistryTest(unittest.TestCase):
    """Tests the series and the text format of metrics."""

    def setUp(self):
        self.registry = metrics.create_registry()

    def test_number_of_series_is_bounded(self):
        counter = self.registry.add_counter("calls", "calls", "kind")
        latency = self.registry.add_latency("seconds", "time", "kind")
        for number in range(10 * metrics.MAX_SERIES):
            counter.increment(f"kind-{number}")
            latency.record(0.1, f"kind-{number}")
        lines = counter.format_lines()
        self.assertEqual(len(lines), metrics.MAX_SERIES)
        self.assertEqual(
            counter.read(metrics.OTHER_LABEL),
            10 * metrics.MAX_SERIES - (metrics.MAX_SERIES - 1),
        )
        self.assertLessEqual(
            len(latency.format_lines()), 6 * metrics.MAX_SERIES
        )

    def test_quantiles_match_the_recorded_durations(self):
        latency = self.registry.add_latency("seconds", "time", "outcome")
        for millis in range(1, 101):
            latency.record(millis / 1000, "done")
        latency.record(3600 * 24, "failed")
        latency.record(0.0, "failed")
        lines = dict(
            line.rsplit(" ", 1)
            for line in self.registry.format_text().split("\n")[1:-1]
        )
        median = float(lines['seconds{outcome="done",quantile="0.5"}'])
        self.assertAlmostEqual(median, 0.050, delta=0.001)
        self.assertEqual(lines['seconds_count{outcome="done"}'], "100")
        self.assertEqual(lines['seconds_count{outcome="failed"}'], "2")

    def test_label_values_are_escaped(self):
        counter = self.registry.add_counter("calls", "calls", "kind")
        counter.increment('a"b\n')
        self.assertEqual(counter.format_lines(), ['calls{kind="a\\"b\\n"} 1'])

    def test_gauge_is_read_each_time_it_is_formatted(self):
        values = [2, 1]
        self.registry.add_gauge("depth", "depth", values.pop)
        self.assertIn("depth 1\n", self.registry.format_text())
        self.assertIn("depth 2\n", self.registry.format_text())
