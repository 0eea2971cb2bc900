"""In-memory metrics with a bounded number of series."""

from collections.abc import Callable
import threading

from hdrh import histogram

# Maximum number of label combinations per metric. The last one has the value
# `other` for each label and counts all further combinations, so that label
# values from callers cannot exhaust the memory.
MAX_SERIES = 64
OTHER_LABEL = "other"

MICROSECONDS = 1_000_000
MAX_LATENCY_US = 3600 * MICROSECONDS
SIGNIFICANT_DIGITS = 2
QUANTILES = (0.5, 0.9, 0.99, 0.999)

Labels = tuple[str, ...]


class _Metric:
    """Base of metrics: name, description and label names."""

    def __init__(self, name: str, text: str, labels: Labels):
        self.name = name
        self.text = text
        self.labels = labels
        self._lock = threading.Lock()

    def _limit_series(self, series: dict, values: Labels) -> Labels:
        if len(values) != len(self.labels):
            raise ValueError(
                f"metric {self.name} expects one value for each of the labels "
                f"{self.labels}"
            )
        if values in series or len(series) < MAX_SERIES - 1:
            return values
        return (OTHER_LABEL,) * len(values)

    def _format_labels(self, values: Labels, *more: tuple[str, str]) -> str:
        pairs = [*zip(self.labels, values, strict=True), *more]
        if not pairs:
            return ""
        text = ",".join(f'{name}="{_escape(value)}"' for name, value in pairs)
        return "{" + text + "}"


class Counter(_Metric):
    """A monotonically increasing number per combination of labels."""

    def __init__(self, name: str, text: str, labels: Labels):
        """Creates a counter without series."""
        super().__init__(name, text, labels)
        self._series: dict[Labels, int] = {}

    def increment(self, *values: str, by: int = 1) -> None:
        """Increments the series with these label values.

        Args:
            *values: Label values, in the order of the labels.
            by: Increment.
        """
        with self._lock:
            key = self._limit_series(self._series, values)
            self._series[key] = self._series.get(key, 0) + by

    def read(self, *values: str) -> int:
        """Returns the value of a series, 0 if it does not exist."""
        with self._lock:
            return self._series.get(values, 0)

    def format_lines(self) -> list[str]:
        """Returns one line per series."""
        with self._lock:
            series = sorted(self._series.items())
        return [
            f"{self.name}{self._format_labels(values)} {value}"
            for values, value in series
        ]


class Latency(_Metric):
    """A distribution of durations for each combination of labels."""

    def __init__(self, name: str, text: str, labels: Labels):
        """Creates a latency metric without series."""
        super().__init__(name, text, labels)
        self._series: dict[Labels, histogram.HdrHistogram] = {}

    def record(self, seconds: float, *values: str) -> None:
        """Records a duration in seconds; values are limited to 1 us to 1 h."""
        micros = min(max(int(seconds * MICROSECONDS), 1), MAX_LATENCY_US)
        with self._lock:
            key = self._limit_series(self._series, values)
            if key not in self._series:
                self._series[key] = histogram.HdrHistogram(
                    1, MAX_LATENCY_US, SIGNIFICANT_DIGITS
                )
            self._series[key].record_value(micros)

    def count(self, *values: str) -> int:
        """Returns the number of durations recorded in a series."""
        with self._lock:
            found = self._series.get(values)
            return found.get_total_count() if found else 0

    def format_lines(self) -> list[str]:
        """Returns the quantiles, maximum and count of each series.

        Durations are in seconds.
        """
        lines = []
        with self._lock:
            for values, recorded in sorted(self._series.items()):
                for quantile in QUANTILES:
                    labels = self._format_labels(
                        values, ("quantile", str(quantile))
                    )
                    micros = recorded.get_value_at_percentile(quantile * 100)
                    lines.append(f"{self.name}{labels} {micros / MICROSECONDS}")
                labels = self._format_labels(values)
                highest = recorded.get_max_value() / MICROSECONDS
                lines.append(f"{self.name}_max{labels} {highest}")
                total = recorded.get_total_count()
                lines.append(f"{self.name}_count{labels} {total}")
        return lines


class Gauge(_Metric):
    """A number that is read each time the metric is formatted."""

    def __init__(self, name: str, text: str, read: Callable[[], float]):
        """Creates a gauge that reads its value from a function."""
        super().__init__(name, text, ())
        self._read = read

    def format_lines(self) -> list[str]:
        """Returns the line of this metric."""
        return [f"{self.name} {self._read():.6g}"]


class Registry:
    """All metrics of a process."""

    def __init__(self):
        """Creates a registry without metrics."""
        self._metrics: dict[str, Counter | Latency | Gauge] = {}

    def add_counter(self, name: str, text: str, *labels: str) -> Counter:
        """Adds a counter.

        Args:
            name: Its name, unique.
            text: Description of what it counts.
            *labels: Names of its labels.
        """
        return self._add(Counter(name, text, labels))

    def add_latency(self, name: str, text: str, *labels: str) -> Latency:
        """Adds a distribution of durations."""
        return self._add(Latency(name, text, labels))

    def add_gauge(
        self, name: str, text: str, read: Callable[[], float]
    ) -> Gauge:
        """Adds a gauge whose value `read` returns."""
        return self._add(Gauge(name, text, read))

    def format_text(self) -> str:
        """Returns the metrics as text: a comment line and then each series."""
        lines = []
        for metric in self._metrics.values():
            lines.append(f"# {metric.name}: {metric.text}")
            lines += metric.format_lines()
        return "\n".join(lines) + "\n"

    def _add(self, metric):
        if metric.name in self._metrics:
            raise ValueError(f"metric {metric.name} is already registered")
        self._metrics[metric.name] = metric
        return metric


def _escape(value: str) -> str:
    text = value.replace("\\", "\\\\").replace('"', '\\"')
    return text.replace("\n", "\\n")


def create_registry() -> Registry:
    """Returns a registry without metrics."""
    return Registry()
