"""Decodes the rows of the system's own tables."""

from typing import TypeVar

import msgspec

from persimmonpath_entry.engine import context
from persimmonpath_entry.platform import store as platform_store

Record = TypeVar("Record", bound=msgspec.Struct)


def decode_row(
    node: context.Context, row: platform_store.Row, record_type: type[Record]
) -> Record | None:
    """Returns the record in a row, None if the row is unreadable.

    An unreadable row is logged and must be treated as absent: it must not end
    the task that reads the table.

    Args:
      node: the context of the process, for the log.
      row: the row.
      record_type: the type of the record.
    """
    try:
        return msgspec.json.decode(row.value, type=record_type)
    except (ValueError, RecursionError) as error:
        node.log.warn(
            "row_unreadable", row=f"{row.part}/{row.key}", reason=error
        )
        return None
