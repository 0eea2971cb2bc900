"""Decodes the rows of the system's own tables."""

from collections.abc import Callable
from collections.abc import Iterable
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


def apply_rows(
    node: context.Context,
    rows: Iterable[platform_store.Row],
    apply: Callable[[platform_store.Row], None],
):
    """Applies rows that others have written, each on its own.

    A row that can't be applied is logged and skipped. Otherwise its reader
    would end, begin again at the same row, and miss all others.

    Args:
      node: the context of the process, for the log.
      rows: the rows.
      apply: applies one row.
    """
    for row in rows:
        try:
            apply(row)
        except Exception as error:  # noqa: BLE001
            node.log.warn(
                "row_broken",
                row=f"{row.table}/{row.part}/{row.key}",
                **context.describe_error(error),
            )
