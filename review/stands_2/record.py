"""Writes what was sent, answered and run."""

import json
import pathlib
import time


class Record:
    """Lines of JSON in a file, also kept in memory.

    Attributes:
      lines: all lines written so far.
    """

    def __init__(self, path: pathlib.Path):
        self.lines: list[dict] = []
        self._began = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    def read_clock(self) -> float:
        """Returns the seconds since the record was begun."""
        return time.monotonic() - self._began

    def write(self, event: str, **fields):
        """Appends a line with the time."""
        line = {"at": round(self.read_clock(), 3), "event": event, **fields}
        self.lines.append(line)
        self._file.write(json.dumps(line) + "\n")
        self._file.flush()

    def find(self, event: str, **fields) -> list[dict]:
        """Returns the lines of an event with these fields."""
        return [
            line
            for line in self.lines
            if line["event"] == event
            and all(line.get(k) == v for k, v in fields.items())
        ]

    def close(self):
        """Closes the file."""
        self._file.close()
