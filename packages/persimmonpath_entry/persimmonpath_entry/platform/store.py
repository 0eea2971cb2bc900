"""Client of the platform's store: transactions, range reads and the feed."""

import dataclasses
import math
from urllib.parse import urlencode

import msgspec

from persimmonpath_entry.platform import messages
from persimmonpath_entry.transport import clock
from persimmonpath_entry.transport import httpclient
from persimmonpath_entry.transport import metrics

# Timeout of a call: TIMEOUT_FACTOR times the typical latency, within these
# bounds. A slow store needs a longer timeout; an unresponsive connection has to
# be given up early.
MIN_TIMEOUT_S = 1.0
MAX_TIMEOUT_S = 2.5
TIMEOUT_FACTOR = 5.0
# Weight of the newest call in the moving average of the latency.
LATENCY_WEIGHT = 0.2
# Time beyond its wait that a long poll may take: POLL_SLACK_FACTOR times the
# typical latency, within these bounds. A configuration of 1,800 queues takes
# half a second on a link of 10 Mbit/s; with a smaller lower bound every poll
# would time out and the VM would keep an outdated configuration.
MIN_POLL_SLACK_S = 1.2
MAX_POLL_SLACK_S = 2.0
POLL_SLACK_FACTOR = 3.0
ROWS_PER_CALL = 500
# A transaction that is unanswered for QUIET_FACTOR times the typical latency,
# and for this time, shows that the store may be away. Reads don't count, since
# a large one takes as long on a thin link.
QUIET_S = 0.5
QUIET_FACTOR = 5.0
# Extra time for a read whose response has begun to arrive: a configuration of
# 1,800 queues takes a second on a link of 10 Mbit/s that carries other traffic.
ARRIVING_EXTRA_S = 5.0
PROBE_TARGET = "/api/rows-get?table=vm&part=&limit=1"


@dataclasses.dataclass(slots=True)
class Row:
    """A row of the store.

    Attributes:
      table: table of the row.
      part: partition of the table.
      key: key within the partition.
      value: content of the row.
      version: the store's version at which the row was written.
      is_deleted: whether the row was removed at that version.
    """

    table: str
    part: str
    key: str
    value: bytes
    version: int = 0
    is_deleted: bool = False


@dataclasses.dataclass(slots=True)
class Committed:
    """Result of a transaction that was applied at a version."""

    version: int


@dataclasses.dataclass(slots=True)
class Conflict:
    """Result of a transaction that failed an expectation and changed nothing.

    Attributes:
      rows: the current rows of all expectations.
    """

    rows: list[Row]


@dataclasses.dataclass(slots=True)
class Refused:
    """Result of a call that the store certainly did not carry out.

    Attributes:
      status: the HTTP status, 0 if there was none. A read that got no
        response is reported this way as well.
    """

    status: int

    @property
    def is_final(self) -> bool:
        """Whether the store would refuse the same call again.

        It does so with a row or a transaction that is too large.
        """
        return 400 <= self.status < 500 and self.status != 429


@dataclasses.dataclass(slots=True)
class Unknown:
    """Result of a transaction that may have been, or may yet be, applied.

    Attributes:
      reason: why there was no usable response, or the HTTP status.
    """

    reason: str


@dataclasses.dataclass(slots=True)
class Rows:
    """One page of rows, read at one version of the store.

    Attributes:
      rows: the rows.
      version: the store's version at the read.
      has_more: whether further rows match the read.
    """

    rows: list[Row]
    version: int
    has_more: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class StoreClock:
    """A reading of the store's monotonic clock.

    All VMs compare times on this clock, since their own clocks differ.

    Attributes:
      now_ms: the reading in whole milliseconds.
      sent_at: when the request was sent, in seconds of the local clock.
      received_at: when the response had arrived, on the same clock.
    """

    now_ms: float
    sent_at: float
    received_at: float

    def bound_ms(self, moment: float) -> int:
        """Returns an upper bound of the store's clock at a local time."""
        # The reading is in whole milliseconds, hence the added one.
        return math.ceil(self.now_ms + (moment - self.sent_at) * 1000) + 1

    def convert_to_local(self, clock_ms: float) -> float:
        """Returns a local time by which the store's clock reaches a time."""
        return self.received_at + (clock_ms - self.now_ms) / 1000


class HistoryGone:
    """Result of a poll from a version that the feed no longer covers."""


class _WireRow(msgspec.Struct):
    table: str = ""
    part: str = ""
    key: str = ""
    value: str = ""
    ver: int = 0
    deleted: bool = False


class _WireRows(msgspec.Struct, rename="camel"):
    rows: list[_WireRow] = []
    ver: int = 0
    has_more: bool = False
    now_ms: float = 0


_decode_rows = msgspec.json.Decoder(_WireRows).decode


def _decode_row(row: _WireRow) -> Row:
    value = messages.decode_value(row.value) if row.value else b""
    return Row(row.table, row.part, row.key, value, row.ver, row.deleted)


def _find_last_whole_version(page: Rows) -> int:
    """Returns the version after which a full page of the feed is continued.

    The page's own version may be newer than the changes that it leaves out.
    Its last row may belong to a transaction of which it leaves out other rows;
    these have the same version.
    """
    versions = [row.version for row in page.rows]
    if min(versions) == max(versions):
        return max(versions)
    return max(versions) - 1


def _encode_transaction(part, expect, put, remove) -> bytes:
    """Encodes the body of a transaction; see `StoreClient.commit`."""
    return msgspec.json.encode(
        {
            "expect": [
                {"table": t, "part": part, "key": k, "ver": v}
                for t, k, v in expect
            ],
            "put": [
                {
                    "table": t,
                    "part": part,
                    "key": k,
                    "value": messages.encode_value(v),
                }
                for t, k, v in put
            ],
            "remove": [{"table": t, "part": part, "key": k} for t, k in remove],
        }
    )


class RelayedCall(msgspec.Struct):
    """A call to the store that a peer makes for a VM that can't reach it.

    Attributes:
      method: the HTTP method.
      target: path and query.
      body: the request body.
      timeout_s: seconds until the call is given up.
    """

    method: str
    target: str
    body: bytes
    timeout_s: float


class StoreClient:
    """Client of the platform's store; a process has one.

    Times are seconds of the local clock.

    Attributes:
      relay: sends a call through a peer, or None to call directly.
      last_answer: when the store last answered a direct call.
      last_failure: when a direct call last failed for another reason than a
        soft failure, such as a refused connection or status 503.
      last_soft_failure: when a direct call last timed out or got status 429.
        A slow store fails some calls this way and answers others.
      unanswered_since: when the first call was sent, or failed, that the store
        hasn't served, if it has served no direct call since; else None.
      on_failure: called after each failure of a direct call, or None.
      clock: the newest reading of the store's clock, or None.
    """

    def __init__(self, address: str, measures: metrics.Metrics):
        self._client = httpclient.HttpClient(address, limit=8)
        # Probes have their own connection: calls that an unresponsive store
        # leaves open may occupy all others.
        self._probe_client = httpclient.HttpClient(address, limit=1)
        self._metrics = measures
        self.relay = None
        self.on_failure = None
        self.last_answer = -1e9
        self.last_failure = -1e9
        self.last_soft_failure = -1e9
        self.unanswered_since: float | None = None
        self.clock: StoreClock | None = None
        self._typical_latency_s = 0.02

    def set_address(self, address: str):
        """Makes later calls to another address of the store."""
        self._client.set_address(address)
        self._probe_client.set_address(address)

    def is_quiet(self) -> bool:
        """Returns whether the store has left calls unanswered for too long."""
        if self.unanswered_since is None:
            return False
        limit_s = max(QUIET_S, QUIET_FACTOR * self._typical_latency_s)
        return clock.read_clock() - self.unanswered_since > limit_s

    def choose_timeout(self) -> float:
        """Derives the timeout of a call in seconds from the typical latency."""
        scaled_s = TIMEOUT_FACTOR * self._typical_latency_s
        return min(MAX_TIMEOUT_S, max(MIN_TIMEOUT_S, scaled_s))

    async def call_directly(
        self, method: str, target: str, body: bytes, timeout_s: float
    ) -> httpclient.Outcome:
        """Makes a call from this VM and records whether the store answered."""
        outcome = await self._client.call(
            method,
            target,
            body,
            timeout_s=timeout_s,
            extra_s=ARRIVING_EXTRA_S if method == "GET" else 0.0,
        )
        return self._record_outcome(outcome)

    async def probe(self, timeout_s: float) -> bool:
        """Returns whether the store answers a read from this VM."""
        outcome = await self._probe_client.call(
            "GET", PROBE_TARGET, timeout_s=timeout_s
        )
        outcome = self._record_outcome(outcome)
        return (
            isinstance(outcome, httpclient.Response) and outcome.status == 200
        )

    def fail_calls(self, sent_before: float):
        """Fails the calls sent before a time, which an outage left unanswered.

        Args:
          sent_before: seconds of the local clock.
        """
        self._client.fail_calls(sent_before)

    def _record_outcome(
        self, outcome: httpclient.Outcome
    ) -> httpclient.Outcome:
        """Updates the times of the last answer and of the last failures."""
        now = clock.read_clock()
        if isinstance(outcome, httpclient.NoResponse):
            if outcome.reason == httpclient.OVERTAKEN:
                return outcome
            is_soft_failure = outcome.reason == httpclient.TIMEOUT
        elif outcome.status in (429, 503):
            is_soft_failure = outcome.status == 429
        else:
            self.last_answer = now
            self.unanswered_since = None
            return outcome
        if self.unanswered_since is None:
            self.unanswered_since = now
        if is_soft_failure:
            self.last_soft_failure = now
        else:
            self.last_failure = now
        if self.on_failure is not None:
            self.on_failure()
        return outcome

    async def _call(
        self,
        kind: str,
        method: str,
        target: str,
        body: bytes,
        timeout_s: float | None,
    ) -> httpclient.Outcome:
        start = clock.read_clock()
        if timeout_s is None:
            timeout_s = self.choose_timeout()
        if self.relay is None:
            if kind == "tx" and self.unanswered_since is None:
                self.unanswered_since = start
            outcome = await self.call_directly(method, target, body, timeout_s)
        else:
            outcome = await self.relay(
                RelayedCall(method, target, body, timeout_s)
            )
        if isinstance(outcome, httpclient.NoResponse):
            result = outcome.reason
        else:
            result = str(outcome.status)
        self._metrics.count(f'store_calls{{call="{kind}",result="{result}"}}')
        if kind != "feed":
            latency_s = clock.read_clock() - start
            has_response = isinstance(outcome, httpclient.Response)
            if has_response or self.last_answer > start:
                # If no call was answered meanwhile, the store is unreachable
                # and not slow: the latency stays out of the average.
                self._typical_latency_s += LATENCY_WEIGHT * (
                    latency_s - self._typical_latency_s
                )
            self._metrics.observe(
                f'store_latency{{call="{kind}"}}', latency_s * 1000
            )
        return outcome

    async def commit(
        self,
        part: str,
        expect: list[tuple[str, str, int]],
        put: list[tuple[str, str, bytes]],
        remove: list[tuple[str, str]] = (),
        timeout_s: float | None = None,
    ) -> Committed | Conflict | Refused | Unknown:
        """Applies all changes atomically, or none of them.

        Args:
          part: the partition of every row.
          expect: table, key and version that rows must have, 0 for no row.
          put: table, key and value of the rows to write.
          remove: table and key of the rows to remove.
          timeout_s: seconds until the call is given up, None to derive it
            from the typical latency.

        Returns:
          Committed, Conflict if an expectation failed, Refused if nothing was
          applied, or Unknown if the transaction may have been applied.
        """
        body = _encode_transaction(part, expect, put, remove)
        sent_at = clock.read_clock()
        outcome = await self._call(
            "tx", "POST", "/api/rows-tx", body, timeout_s
        )
        if isinstance(outcome, httpclient.NoResponse):
            if outcome.sent:
                return Unknown(outcome.reason)
            return Refused(0)
        if outcome.status in (200, 412):
            return self._decode_result(outcome, sent_at)
        if outcome.status in (429, 503):
            return Refused(outcome.status)
        if outcome.status >= 500:
            return Unknown(str(outcome.status))
        return Refused(outcome.status)

    def _decode_result(
        self, response: httpclient.Response, sent_at: float
    ) -> Committed | Conflict | Unknown:
        """Decodes the answer to a transaction; an unreadable one is none."""
        try:
            message = self._decode_response(response, sent_at)
            if response.status == 200:
                return Committed(message.ver)
            return Conflict([_decode_row(row) for row in message.rows])
        except messages.UNREADABLE as error:
            return Unknown(f"unreadable: {error}")

    async def read(
        self,
        table: str,
        part: str,
        first: str = "",
        end: str = "",
        timeout_s: float | None = None,
    ) -> Rows | Refused:
        """Reads one page of a partition's rows with first <= key < end."""
        query = {"table": table, "part": part, "limit": ROWS_PER_CALL}
        if first:
            query["from"] = first
        if end:
            query["to"] = end
        return await self._read("get", "/api/rows-get", query, timeout_s)

    async def read_row(self, table: str, part: str, key: str) -> Rows | Refused:
        """Reads one row."""
        return await self.read(table, part, key, key + "\0")

    async def read_all(self, table: str, part: str) -> Rows | Refused:
        """Reads all pages of a partition.

        The version is that of the first page, so that changes made between
        pages are still returned by a later `follow` from it.
        """
        rows: list[Row] = []
        version = None
        first = ""
        while True:
            page = await self.read(table, part, first, timeout_s=MAX_TIMEOUT_S)
            if isinstance(page, Refused):
                return page
            version = page.version if version is None else version
            rows += page.rows
            if not page.has_more or not page.rows:
                return Rows(rows, version)
            first = page.rows[-1].key + "\0"

    async def follow(
        self, table: str, after: int, wait_s: float
    ) -> Rows | Refused | HistoryGone:
        """Long-polls the feed for changes of a table.

        Args:
          table: the table.
          after: version after which changes are returned.
          wait_s: seconds that the store may wait for a first change, 0 to
            return at once.

        Returns:
          The newest change of each changed row, Refused, or HistoryGone if
          the table has to be read again as a whole.
        """
        query = {"table": table, "after": after, "waitMs": int(wait_s * 1000)}
        if wait_s:
            slack_s = max(
                MIN_POLL_SLACK_S, POLL_SLACK_FACTOR * self._typical_latency_s
            )
            timeout_s = wait_s + min(MAX_POLL_SLACK_S, slack_s)
        else:
            timeout_s = self.choose_timeout()
        result = await self._read("feed", "/api/rows-feed", query, timeout_s)
        if isinstance(result, Rows) and len(result.rows) >= ROWS_PER_CALL:
            version = min(_find_last_whole_version(result), result.version)
            return Rows(result.rows, version, True)
        return result

    def _decode_response(
        self, response: httpclient.Response, sent_at: float
    ) -> _WireRows:
        message = _decode_rows(response.body)
        if message.now_ms:
            now = clock.read_clock()
            self.clock = StoreClock(message.now_ms, sent_at, now)
        return message

    async def _read(self, kind, path, query, timeout_s):
        sent_at = clock.read_clock()
        outcome = await self._call(
            kind, "GET", f"{path}?{urlencode(query)}", b"", timeout_s
        )
        if isinstance(outcome, httpclient.NoResponse):
            return Refused(0)
        if outcome.status == 410:
            return HistoryGone()
        if outcome.status != 200:
            return Refused(outcome.status)
        try:
            message = self._decode_response(outcome, sent_at)
            rows = [_decode_row(row) for row in message.rows]
        except messages.UNREADABLE:
            return Refused(outcome.status)
        return Rows(rows, message.ver, message.has_more)
