"""Group commit: batches changes into transactions of the table service."""

import collections
from collections.abc import Iterable
from concurrent import futures
import dataclasses
import threading
import uuid

from absl import logging
from returns import result

from persimmonpath import errors
from persimmonpath import quotas
from persimmonpath import resources
from persimmonpath import tables
from persimmonpath import timers
from persimmonpath import wire

# At most 20 commits per second and entry VM; the table service takes several
# hundred writes per second from all of them.
COMMIT_PERIOD_S = 0.05
MAX_GROUP_CHANGES = 256
MAX_GROUP_BYTES = 2 << 20
# Length of a queue from which on changes without `is_kept` are refused.
MAX_QUEUED = 20_000
# Seconds after which a sender learns that its change was not committed or that
# the result is uncertain.
MAX_WAIT_S = 3.0

Reply = futures.Future


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """Rows that are written in one transaction.

    Attributes:
        checks: Conditions; if one fails, only this change is refused.
        writes: Rows to write.
        charge: Change of a team's usage, applied in the same transaction.
        is_kept: Whether it stays queued without a time limit while the table
            is unavailable; the sender bounds the number of such changes.
        is_bulk: Whether it belongs to a large batch that must not delay other
            changes.
    """

    checks: tuple[tables.Check, ...]
    writes: tuple[tables.Write, ...]
    charge: quotas.Charge | None = None
    is_kept: bool = False
    is_bulk: bool = False


@dataclasses.dataclass(slots=True, eq=False)
class _QueuedChange:
    """A change with the future of its sender."""

    change: Change
    future: futures.Future
    expires_at: float

    def answer(self, reply: result.Result) -> None:
        """Resolves the future unless the sender has its answer already."""
        if not self.future.done():
            self.future.set_result(reply)


@dataclasses.dataclass(slots=True)
class _Group:
    """Changes of one transaction; resent unchanged while it is in doubt."""

    nonce: str
    items: list[_QueuedChange]
    checks: list[tables.Check]
    writes: list[tables.Write]
    is_in_doubt: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _Usage:
    """Resource usage of a team and the version of its row."""

    amount: resources.Resources
    version: int


class GroupCommitter:
    """Commits the changes of one entry VM in groups.

    Every transaction also writes a nonce to the marker row `commit/NAME` and
    checks the version of this row. Therefore only one of several copies of a
    transaction can take effect. A transaction whose answer was lost is resent
    until the nonce in the marker row shows its result.

    Attributes:
        commits: Number of transactions sent.
    """

    def __init__(
        self, name: str, table: tables.Table, timer_service: timers.TimerService
    ):
        """Creates a committer with empty queues.

        Args:
            name: Name of the marker row; unique among the running processes.
            table: The table service.
            timer_service: Source of time.
        """
        self._marker_key = f"commit/{name}"
        self._table = table
        self._timers = timer_service
        self._lock = threading.Lock()
        self._flush_lock = threading.Lock()
        self._queue: collections.deque[_QueuedChange] = collections.deque()
        self._bulk_queue: collections.deque[_QueuedChange] = collections.deque()
        self._group: _Group | None = None
        self._marker_version: int | None = None
        self._usage: dict[str, _Usage] = {}
        self._next_at = 0.0
        self.commits = 0

    def add(self, change: Change) -> "Reply[result.Result]":
        """Queues a change.

        Returns:
            A future of the version of the written rows or of a `TableError`.
            When the queue is full the change is refused immediately.
        """
        future: futures.Future = futures.Future()
        queued = _QueuedChange(change, future, self._timers.now() + MAX_WAIT_S)
        with self._lock:
            queue = self._bulk_queue if change.is_bulk else self._queue
            is_full = not change.is_kept and len(queue) >= MAX_QUEUED
            if not is_full:
                queue.append(queued)
        if is_full:
            queued.answer(_fail(errors.TableUnavailableError("overloaded")))
        return future

    def has_pending(self) -> bool:
        """Returns whether any change is queued or in doubt."""
        return bool(self._queue or self._bulk_queue or self._group)

    def flush(self) -> None:
        """Commits one group.

        Does nothing within `COMMIT_PERIOD_S` of the last commit or while
        another thread flushes.
        """
        if not self._flush_lock.acquire(blocking=False):
            return
        try:
            self._answer_expired()
            if self._timers.now() < self._next_at:
                return
            if self._group is None:
                self._group = self._create_group()
            if self._group is not None:
                self._next_at = self._timers.now() + COMMIT_PERIOD_S
                self._send(self._group)
        finally:
            self._flush_lock.release()

    def _create_group(self) -> _Group | None:
        """Builds a transaction from queued changes.

        Bulk changes get at most half of it while others are queued.
        """
        with self._lock:
            bulk_share = MAX_GROUP_CHANGES // 2
            max_bulk = bulk_share if self._queue else MAX_GROUP_CHANGES
            items = _pop_changes(
                self._bulk_queue, max_bulk, MAX_GROUP_BYTES // 2, set()
            )
            keys = {w.key for i in items for w in i.change.writes}
            items = (
                _pop_changes(
                    self._queue,
                    MAX_GROUP_CHANGES - len(items),
                    MAX_GROUP_BYTES,
                    keys,
                )
                + items
            )
        if not items:
            return None
        if not self._load_missing_rows(items):
            self._postpone(items, errors.TableUnavailableError("platform"))
            return None
        items, charged = self._apply_charges(items)
        if not items:
            return None
        nonce = uuid.uuid4().hex
        checks = [tables.Check(self._marker_key, self._marker_version)]
        writes = [tables.Write(self._marker_key, nonce)]
        for item in items:
            checks += item.change.checks
            writes += item.change.writes
        for team, amount in charged.items():
            key = quotas.format_key(team)
            checks.append(tables.Check(key, self._usage[team].version))
            is_idle = amount == resources.ZERO
            value = None if is_idle else wire.encode(amount).decode()
            writes.append(tables.Write(key, value))
        return _Group(nonce, items, checks, writes)

    def _load_missing_rows(self, items: list[_QueuedChange]) -> bool:
        """Reads the marker row and usage rows not cached; False on failure."""
        if self._marker_version is None:
            reply = self._table.get(self._marker_key)
            if isinstance(reply, result.Failure):
                return False
            self._marker_version = (
                reply.unwrap().version if reply.unwrap() else 0
            )
        teams = {i.change.charge.team for i in items if i.change.charge}
        for team in teams - self._usage.keys():
            reply = self._table.get(quotas.format_key(team))
            if isinstance(reply, result.Failure):
                return False
            row = reply.unwrap()
            self._usage[team] = (
                _Usage(wire.decode(resources.Resources, row.value), row.version)
                if row
                else _Usage(resources.ZERO, 0)
            )
        return True

    def _apply_charges(
        self, items: list[_QueuedChange]
    ) -> tuple[list[_QueuedChange], dict[str, resources.Resources]]:
        """Refuses changes that exceed a quota.

        Returns:
            The accepted changes and the new usage of each team.
        """
        accepted = []
        usages: dict[str, resources.Resources] = {}
        for item in items:
            charge = item.change.charge
            if charge is not None:
                before = usages.get(charge.team)
                if before is None:
                    before = self._usage[charge.team].amount
                after = quotas.apply_charge(before, charge)
                if isinstance(after, result.Failure):
                    # The cached usage may be out of date: another VM may have
                    # released resources since.
                    self._refuse_charge(item, after)
                    continue
                usages[charge.team] = after.unwrap()
            accepted.append(item)
        return accepted, usages

    def _refuse_charge(
        self, item: _QueuedChange, refusal: result.Result
    ) -> None:
        """Refuses a change unless the cached usage was out of date."""
        team = item.change.charge.team
        known = self._usage[team]
        row = self._table.get(quotas.format_key(team)).value_or(None)
        if row is not None and row.version != known.version:
            del self._usage[team]
            self._requeue([item])
            return
        item.answer(refusal)

    def _send(self, group: _Group) -> None:
        reply = self._table.commit(group.checks, group.writes)
        self.commits += 1
        if isinstance(reply, result.Success):
            self._finish(group, reply.unwrap())
        elif isinstance(reply.failure(), errors.TableConflictError):
            self._resolve_conflict(group)
        elif isinstance(reply.failure(), errors.TableUncertainError):
            logging.warning(
                "event=commit_in_doubt changes=%d", len(group.items)
            )
            group.is_in_doubt = True
        elif not group.is_in_doubt:
            self._group = None
            self._postpone(group.items, reply.failure())

    def _finish(self, group: _Group, version: int) -> None:
        self._group = None
        self._marker_version = version
        for write in group.writes:
            if write.key.startswith(quotas.KEY_PREFIX):
                self._usage.pop(write.key.removeprefix(quotas.KEY_PREFIX), None)
        for item in group.items:
            item.answer(result.Success(version))

    def _resolve_conflict(self, group: _Group) -> None:
        reply = self._table.get(self._marker_key)
        if isinstance(reply, result.Failure):
            # Only the marker row shows whether an earlier copy took effect, so
            # the group is sent again.
            return
        row = reply.unwrap()
        if row is not None and row.value == group.nonce:
            self._finish(group, row.version)
            return
        version = row.version if row else 0
        if group.is_in_doubt and version == self._marker_version:
            self._invalidate_copies(group)
            return
        self._marker_version = version
        self._group = None
        self._usage.clear()
        self._requeue_or_refuse(group.items)

    def _invalidate_copies(self, group: _Group) -> None:
        """Writes the marker row, so that no delayed copy can take effect."""
        check = tables.Check(self._marker_key, self._marker_version)
        write = tables.Write(self._marker_key, uuid.uuid4().hex)
        reply = self._table.commit([check], [write])
        self.commits += 1
        if isinstance(reply, result.Success):
            self._marker_version = reply.unwrap()
            self._group = None
            self._usage.clear()
            self._requeue_or_refuse(group.items)

    def _requeue_or_refuse(self, items: list[_QueuedChange]) -> None:
        """Refuses the changes whose own checks fail and requeues the rest."""
        rest = []
        for item in items:
            failed = self._find_failed_check(item.change.checks)
            if isinstance(failed, result.Failure):
                self._postpone([item], failed.failure())
            elif failed.unwrap() is not None:
                key = failed.unwrap().key
                item.answer(_fail(errors.TableConflictError(key)))
            else:
                rest.append(item)
        self._requeue(rest)

    def _find_failed_check(
        self, checks: Iterable[tables.Check]
    ) -> result.Result[tables.Check | None, errors.TableError]:
        for check in checks:
            reply = self._table.get(check.key)
            if isinstance(reply, result.Failure):
                return reply
            row = reply.unwrap()
            if (row.version if row else 0) != check.version:
                return result.Success(check)
        return result.Success(None)

    def _postpone(
        self, items: list[_QueuedChange], error: errors.TableError
    ) -> None:
        """Requeues the changes with `is_kept` and refuses the others."""
        for item in items:
            if not item.change.is_kept:
                item.answer(_fail(error))
        self._requeue([i for i in items if i.change.is_kept])

    def _requeue(self, items: list[_QueuedChange]) -> None:
        with self._lock:
            for item in reversed(items):
                queue = self._bulk_queue if item.change.is_bulk else self._queue
                queue.appendleft(item)

    def _answer_expired(self) -> None:
        """Answers the senders whose changes have been queued for too long."""
        now = self._timers.now()
        if self._group is not None:
            for item in self._group.items:
                if not item.change.is_kept and now >= item.expires_at:
                    item.answer(_fail(errors.TableUncertainError("in doubt")))
        expired = []
        with self._lock:
            for queue in (self._queue, self._bulk_queue):
                while (
                    queue
                    and not queue[0].change.is_kept
                    and now >= queue[0].expires_at
                ):
                    expired.append(queue.popleft())
        for item in expired:
            item.answer(_fail(errors.TableUnavailableError("not sent")))


def _pop_changes(
    queue: collections.deque[_QueuedChange],
    count: int,
    size_limit: int,
    keys: set[str],
) -> list[_QueuedChange]:
    """Removes changes from a queue such that no row is written twice.

    Changes of a row that is written already stay in the queue, in order.

    Args:
        queue: The queue.
        count: Maximum number of changes that are examined.
        size_limit: Size of the written values, in characters, from which on no
            further change is selected.
        keys: Keys of the rows that are written already; extended by those of
            the selected changes.
    """
    selected: list[_QueuedChange] = []
    skipped: list[_QueuedChange] = []
    size = 0
    while queue and len(selected) + len(skipped) < count and size < size_limit:
        item = queue.popleft()
        written = {write.key for write in item.change.writes}
        if written & keys:
            skipped.append(item)
            continue
        keys |= written
        selected.append(item)
        size += sum(len(write.value or "") for write in item.change.writes)
    queue.extendleft(reversed(skipped))
    return selected


def _fail(error: errors.TableError) -> result.Result:
    return result.Failure(error)
