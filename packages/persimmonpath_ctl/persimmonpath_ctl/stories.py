"""The story of one submission, told from the logs of several processes."""

from collections.abc import Iterable
import dataclasses
import re

# A gap of this length between two lines is pointed out.
GAP_S = 0.5
LINE_PATTERN = re.compile(r"\bt=([\d.]+) node=(\S+) event=(\S+)(.*)")
FIELD_PATTERN = re.compile(r'(\w+)=("[^"]*"|\S+)')
# Fields that name a submission, a task or a step; each begins with its id.
ID_FIELDS = ("id", "task", "step")


@dataclasses.dataclass(frozen=True)
class LogLine:
    """One line of a log.

    Attributes:
      time_s: Unix seconds.
      node: the VM that wrote it.
      event: its event.
      fields: what decided it and the outcome.
    """

    time_s: float
    node: str
    event: str
    fields: dict[str, str]


def parse_line(text: str) -> LogLine | None:
    """Returns a line of a log, or None for any other text."""
    match = LINE_PATTERN.search(text)
    if match is None:
        return None
    fields = {
        name: value.strip('"')
        for name, value in FIELD_PATTERN.findall(match[4])
    }
    return LogLine(float(match[1]), match[2], match[3], fields)


def select_lines(texts: Iterable[str], submission_id: str) -> list[LogLine]:
    """Returns the lines that touch a submission, in order of time."""
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


def render_story(lines: list[LogLine]) -> list[str]:
    """Returns the story as text, with the gaps between the lines."""
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
