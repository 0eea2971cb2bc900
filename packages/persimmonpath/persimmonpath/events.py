"""Structured log lines: one event per line, in the form key=value."""

import json
import re
from typing import Any

from absl import logging

MAX_VALUE_LENGTH = 1000
_PLAIN = re.compile(r"^[A-Za-z0-9_.:/@+,#*%-]+$")


def format_event(event: str, **fields: Any) -> str:
    """Formats an event as a log line.

    A value with characters other than letters, digits and `_.:/@+,#*%-` is
    quoted as a JSON string, so that an event is always a single line that
    parses unambiguously.

    Args:
        event: Name of the event, words separated by underscores.
        **fields: Further fields; those with the value None are omitted.
    """
    parts = [f"event={event}"]
    for name, value in fields.items():
        if value is not None:
            parts.append(f"{name}={format_value(value)}")
    return " ".join(parts)


def format_value(value: Any) -> str:
    """Formats a field value, quoted if needed.

    A value longer than `MAX_VALUE_LENGTH` characters is truncated.
    """
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
    """Logs an event that may need the attention of an operator."""
    logging.warning("%s", format_event(event, **fields))


def log_error(event: str, **fields: Any) -> None:
    """Logs an event that needs the attention of an operator."""
    logging.error("%s", format_event(event, **fields))
