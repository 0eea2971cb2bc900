"""Counters, gauges and latency histograms in the Prometheus text format."""

import bisect
import collections

# Upper bounds of the histogram buckets in milliseconds.
BUCKETS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000)


class Metrics:
    """The metrics of one process.

    Names carry no prefix; they may end with labels in braces.
    """

    def __init__(self):
        self._counters: collections.Counter[str] = collections.Counter()
        self._gauges: dict[str, float] = {}
        # Counts of the buckets, of the values above all bounds, and the sum.
        self._histograms: dict[str, list[float]] = {}

    def count(self, name: str, amount: float = 1):
        """Increments a counter."""
        self._counters[name] += amount

    def set(self, name: str, value: float):
        """Sets a gauge."""
        self._gauges[name] = value

    def observe(self, name: str, milliseconds: float):
        """Records a latency in a histogram."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = [0.0] * (len(BUCKETS_MS) + 2)
            self._histograms[name] = histogram
        histogram[bisect.bisect_left(BUCKETS_MS, milliseconds)] += 1
        histogram[-1] += milliseconds

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        lines = [
            f"persimmon_{k} {v}" for k, v in sorted(self._counters.items())
        ]
        lines += [f"persimmon_{k} {v}" for k, v in sorted(self._gauges.items())]
        for name, histogram in sorted(self._histograms.items()):
            lines += _render_histogram(name, histogram)
        return ("\n".join(lines) + "\n").encode()


def _render_histogram(name: str, histogram: list[float]) -> list[str]:
    base, _, labels = name.partition("{")
    labels = labels.rstrip("}")
    prefix = f"{labels}," if labels else ""
    braces = f"{{{labels}}}" if labels else ""
    lines = []
    total = 0.0
    for bound, count in zip((*BUCKETS_MS, "+Inf"), histogram, strict=False):
        total += count
        lines.append(
            f'persimmon_{base}_ms_bucket{{{prefix}le="{bound}"}} {total}'
        )
    lines.append(f"persimmon_{base}_ms_sum{braces} {histogram[-1]}")
    lines.append(f"persimmon_{base}_ms_count{braces} {total}")
    return lines
