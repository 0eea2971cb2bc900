"""Non-blocking structured logging of key=value lines to standard output."""

import asyncio
import collections
import os
import time

from persimmonpath_entry.transport import clock

# Most lines that are buffered while the reader of standard output stalls.
BUFFER_LINES = 2000
# Most lines per second; further lines are dropped and counted by event.
BUDGET_PER_S = 500
# Additional lines per second for failures and state changes, so that ordinary
# lines never displace them under load.
RESERVE_PER_S = 200
# Share of the budget that the sampled ids are planned to use. The rest absorbs
# load that grows within the second.
SAMPLE_BUDGET_SHARE = 0.8
# Fields whose value begins with the id of a submission.
ID_FIELDS = ("id", "task", "step")
# Leading hexadecimal digits of an id that decide whether it is sampled.
ID_DIGITS = 4
FLUSH_S = 0.2
# Most lines that are written at once.
BATCH_LINES = 40
# Longest value of a field; the rest is cut off. Paths are as long as their
# callers like.
VALUE_CHARS = 400
CUT_MARK = "..."
STDOUT = 1


def _format_value(value: object) -> str:
    if isinstance(value, float):
        return f"{value:.3f}"
    text = str(value)
    if len(text) > VALUE_CHARS:
        text = text[:VALUE_CHARS] + CUT_MARK
    if text and not any(c in text for c in ' "=\n'):
        return text
    return '"' + text.replace('"', "'").replace("\n", " ") + '"'


class Log:
    """Writes one line for each event, up to a number of lines per second.

    Attributes:
      left_out_total: number of lines dropped so far.
    """

    def __init__(self, node: str, fd: int = STDOUT):
        self._node = node
        self._fd = fd
        self._lines: collections.deque[bytes] = collections.deque()
        # Lines that are being written, without what the pipe has taken.
        self._unwritten = b""
        self._left_out: collections.Counter[str] = collections.Counter()
        self.left_out_total = 0
        self._second_started = 0.0
        self._written_lines = 0
        self._written_reserve_lines = 0
        self._requested_lines = 0
        # Share of the ids whose lines are written, 0 to 1.
        self._sample_share = 1.0
        os.set_blocking(fd, False)

    def write(self, event: str, **fields: object):
        """Logs an ordinary event; under load only for a sample of the ids.

        Args:
          event: name of the event.
          **fields: further fields of the line.
        """
        self._advance_second()
        self._requested_lines += 1
        is_sampled = self._sample_share >= 1.0 or self._is_sampled(fields)
        if not is_sampled or self._written_lines >= BUDGET_PER_S:
            self._leave_out(event)
            return
        self._written_lines += 1
        self._enqueue(event, fields)

    def _is_sampled(self, fields: dict[str, object]) -> bool:
        """Returns whether a line belongs to a sampled id or to none.

        Lines are dropped by id, so that the event history of a submission is
        either complete or missing, never partial.
        """
        for name in ID_FIELDS:
            text = fields.get(name)
            if text:
                break
        else:
            return True
        try:
            prefix = int(text[:ID_DIGITS], 16)
        except ValueError:
            return True
        return prefix < self._sample_share * 16**ID_DIGITS

    def warn(self, event: str, **fields: object):
        """Logs a failure or a state change; uses the reserve once it has to."""
        self._advance_second()
        if self._written_lines < BUDGET_PER_S:
            self._written_lines += 1
        elif self._written_reserve_lines < RESERVE_PER_S:
            self._written_reserve_lines += 1
        else:
            self._leave_out(event)
            return
        self._enqueue(event, fields)

    def _leave_out(self, event: str):
        self._left_out[event] += 1
        self.left_out_total += 1

    def _advance_second(self):
        now = clock.read_clock()
        if now - self._second_started < 1.0:
            return
        self._second_started = now
        self._sample_share = 1.0
        if self._requested_lines > BUDGET_PER_S:
            self._sample_share = (
                SAMPLE_BUDGET_SHARE * BUDGET_PER_S / self._requested_lines
            )
        self._requested_lines = 0
        self._written_lines = 0
        self._written_reserve_lines = 0
        if self._left_out:
            counts = dict(self._left_out)
            self._left_out.clear()
            self._enqueue("lines_left_out", counts)

    def _enqueue(self, event: str, fields: dict[str, object]):
        if len(self._lines) >= BUFFER_LINES:
            self._leave_out(event)
            return
        parts = [f"t={time.time():.3f} node={self._node} event={event}"]
        for name, value in fields.items():
            parts.append(f"{name}={_format_value(value)}")
        self._lines.append((" ".join(parts) + "\n").encode())

    def flush(self):
        """Writes as many buffered lines as the pipe takes without blocking."""
        while self._unwritten or self._lines:
            if not self._unwritten:
                self._unwritten = self._take_batch()
            try:
                written = os.write(self._fd, self._unwritten)
            except BlockingIOError:
                return
            except OSError:
                self._unwritten = b""
                self._lines.clear()
                return
            self._unwritten = self._unwritten[written:]
            if self._unwritten:
                return

    def _take_batch(self) -> bytes:
        count = min(BATCH_LINES, len(self._lines))
        return b"".join(self._lines.popleft() for _ in range(count))

    async def run(self):
        """Flushes every FLUSH_S seconds until cancelled."""
        while True:
            await asyncio.sleep(FLUSH_S)
            self.flush()
