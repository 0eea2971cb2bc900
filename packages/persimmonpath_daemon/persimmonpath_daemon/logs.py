"""Log configuration: one line of key=value pairs for each event."""

import logging as standard_logging
import time

from absl import flags
from absl import logging

from persimmonpath import events

_LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


class EventFormatter(standard_logging.Formatter):
    """Formats a record as one line: time, level, event and exception."""

    def format(self, record: standard_logging.LogRecord) -> str:
        """Formats a record; a message that is no event becomes event `log`."""
        message = _format_message(record).replace("\n", " ")
        if not message.startswith("event="):
            message = events.format_event("log", message=message)
        parts = [
            f"time={self._format_time(record.created)}",
            f"level={record.levelname.lower()}",
            message,
        ]
        if record.exc_info and record.exc_info[1] is not None:
            parts.append(_format_exception(record.exc_info[1]))
        return " ".join(parts)

    def _format_time(self, created: float) -> str:
        seconds = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(created))
        return f"{seconds}.{int(created * 1000) % 1000:03d}Z"


def _format_message(record: standard_logging.LogRecord) -> str:
    """Formats a message, with the values of an event quoted where needed."""
    is_event = isinstance(record.msg, str) and record.msg.startswith("event=")
    if not is_event or not isinstance(record.args, tuple):
        return record.getMessage()
    values = (
        value if isinstance(value, int | float) else events.format_value(value)
        for value in record.args
    )
    return record.msg % tuple(values)


def _format_exception(error: BaseException) -> str:
    trace = error.__traceback__
    while trace is not None and trace.tb_next is not None:
        trace = trace.tb_next
    place = None
    if trace is not None:
        name = trace.tb_frame.f_code.co_filename.rpartition("/")[2]
        place = f"{name}:{trace.tb_lineno}"
    fields = {
        "error": f"{type(error).__name__}: {error}",
        "at": place,
    }
    return " ".join(
        f"{name}={events.format_value(value)}"
        for name, value in fields.items()
        if value is not None
    )


def configure(level: str) -> None:
    """Configures logging of events to standard error.

    Args:
        level: Minimum severity: `debug`, `info`, `warning` or `error`.
    """
    # Unparsed flags make absl write a warning before the first event.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    handler = logging.get_absl_handler()
    handler.setFormatter(EventFormatter())
    logging.set_verbosity(_LEVELS[level])
