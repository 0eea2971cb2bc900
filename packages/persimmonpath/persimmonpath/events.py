"""Log lines: one event each, in the form key=value."""

import json
import re
from typing import Any

from absl import logging

MAX_VALUE_LENGTH = 1000
_PLAIN = re.compile(r"^[A-Za-z0-9_.:/@+,#*%-]+$")


def format_event(event: str, **fields: Any) -> str:
    """Returns the line of an event.

    A value with any other character than letters, digits and a few signs is
    quoted as a JSON string, so a line never breaks and parses without doubt.

    Args:
        event: Name of the event, words separated by underscores.
        **fields: Further values; None leaves a field out.
    """
    parts = [f"event={event}"]
    for name, value in fields.items():
        if value is not None:
            parts.append(f"{name}={format_value(value)}")
    return " ".join(parts)


def format_value(value: Any) -> str:
    """Returns one value, quoted where needed and cut when it is long."""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if len(text) > MAX_VALUE_LENGTH:
        text = text[: MAX_VALUE_LENGTH - 3] + "..."
    return text if _PLAIN.match(text) else json.dumps(text)


def log_info(event: str, **fields: Any) -> None:
    """Logs an event of normal operation."""
    logging.info("%s", format_event(event, **fields))


def log_warning(event: str, **fields: Any) -> None:
    """Logs an event that an operator may have to look at."""
    logging.warning("%s", format_event(event, **fields))


def log_error(event: str, **fields: Any) -> None:
    """Logs an event that an operator has to look at."""
    logging.error("%s", format_event(event, **fields))
