"""Interface of the platform's transactional table service."""

import abc
import dataclasses
import threading

from returns import result

from persimmonpath import errors


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row that was read.

    Attributes:
        key: Key; its parts are separated by `/`.
        value: Content, usually JSON.
        version: Changes with every write of the row; never 0.
    """

    key: str
    value: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Check:
    """A condition of a commit: the version of a row, 0 if there is none."""

    key: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """A row that a commit writes; a value of None deletes it."""

    key: str
    value: str | None


class Table(abc.ABC):
    """A table with multi-row compare-and-set transactions."""

    @abc.abstractmethod
    def get(self, key: str) -> result.Result[Row | None, errors.TableError]:
        """Reads a row; returns `Success(None)` if there is none."""

    @abc.abstractmethod
    def scan(self, prefix: str) -> result.Result[list[Row], errors.TableError]:
        """Reads all rows whose key starts with `prefix`, sorted by key."""

    @abc.abstractmethod
    def commit(
        self, checks: list[Check], writes: list[Write]
    ) -> result.Result[int, errors.TableError]:
        """Applies all writes if all checks hold; otherwise applies none.

        Returns:
            The new version of the written rows, or a `TableConflictError` (a
            check failed), `TableUnavailableError` (no effect) or
            `TableUncertainError` (may have taken effect).
        """


class MemoryTable(Table):
    """A table in memory, for tests and embedding."""

    def __init__(self):
        self._lock = threading.Lock()
        self._rows: dict[str, Row] = {}
        self._version = 0

    def get(self, key: str) -> result.Result[Row | None, errors.TableError]:
        """Reads a row."""
        with self._lock:
            return result.Success(self._rows.get(key))

    def scan(self, prefix: str) -> result.Result[list[Row], errors.TableError]:
        """Reads all rows with a prefix."""
        with self._lock:
            keys = sorted(k for k in self._rows if k.startswith(prefix))
            return result.Success([self._rows[k] for k in keys])

    def commit(
        self, checks: list[Check], writes: list[Write]
    ) -> result.Result[int, errors.TableError]:
        """Applies all writes if all checks hold."""
        with self._lock:
            for check in checks:
                row = self._rows.get(check.key)
                if (row.version if row else 0) != check.version:
                    return result.Failure(errors.TableConflictError(check.key))
            self._version += 1
            for write in writes:
                self._apply(write)
            return result.Success(self._version)

    def _apply(self, write: Write) -> None:
        if write.value is None:
            self._rows.pop(write.key, None)
        else:
            self._rows[write.key] = Row(write.key, write.value, self._version)


def create_memory_table() -> Table:
    """Creates an empty table in memory."""
    return MemoryTable()
