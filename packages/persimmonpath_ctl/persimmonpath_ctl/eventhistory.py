"""Event history of one submission, from the logs of several processes."""

from collections.abc import Iterable
import dataclasses
import re

# Gaps between two lines of at least this length are marked in the output.
GAP_S = 0.5
LINE_PATTERN = re.compile(r"\bt=([\d.]+) node=(\S+) event=(\S+)(.*)")
FIELD_PATTERN = re.compile(r'(\w+)=("[^"]*"|\S+)')
# Fields with the id of a submission, task or step. Each value begins with the
# id of the submission.
ID_FIELDS = ("id", "task", "step")


@dataclasses.dataclass(frozen=True)
class LogLine:
    """One parsed line of a log.

    Attributes:
        time_s: Unix time in seconds.
        node: VM that wrote the line.
        event: Name of the event.
        fields: Further fields by name.
    """

    time_s: float
    node: str
    event: str
    fields: dict[str, str]


def parse_line(text: str) -> LogLine | None:
    """Parses a line of a log; returns None if it is no event."""
    match = LINE_PATTERN.search(text)
    if match is None:
        return None
    fields = {
        name: value.strip('"')
        for name, value in FIELD_PATTERN.findall(match[4])
    }
    return LogLine(float(match[1]), match[2], match[3], fields)


def select_lines(texts: Iterable[str], submission_id: str) -> list[LogLine]:
    """Returns the log lines of a submission, sorted by time."""
    rows = []
    for text in texts:
        if submission_id not in text:
            continue
        line = parse_line(text)
        if line is None:
            continue
        values = [line.fields.get(name, "") for name in ID_FIELDS]
        if any(value.partition(".")[0] == submission_id for value in values):
            rows.append(line)
    return sorted(rows, key=lambda line: line.time_s)


def format_event_history(lines: list[LogLine]) -> list[str]:
    """Formats log lines as text with relative times.

    Adds a line for each gap of at least `GAP_S` seconds.
    """
    rows = []
    previous = None
    for line in lines:
        if previous is not None and line.time_s - previous.time_s >= GAP_S:
            gap_s = line.time_s - previous.time_s
            rows.append(f"          ... {gap_s:.2f} s without a line")
        start_s = lines[0].time_s
        fields = " ".join(f"{k}={v}" for k, v in line.fields.items())
        rows.append(
            f"{line.time_s - start_s:9.3f} {line.node} {line.event} {fields}"
        )
        previous = line
    return rows
