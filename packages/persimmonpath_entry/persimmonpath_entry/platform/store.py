"""Calls to the platform's store."""

import dataclasses
import math
from urllib.parse import urlencode

import msgspec

from persimmonpath_entry.platform import messages
from persimmonpath_entry.transport import clock
from persimmonpath_entry.transport import httpclient
from persimmonpath_entry.transport import metrics

# A call is given up after some times its usual length, within these bounds: a
# slow store needs patience, a silent channel doesn't deserve it.
MIN_TIMEOUT_S = 1.0
MAX_TIMEOUT_S = 2.5
TIMEOUT_FACTOR = 5.0
# Weight of the newest call in the usual length.
LATENCY_WEIGHT = 0.2
# The answer to a long poll may come some times the usual length of a call later
# than it was asked to, within these bounds. A configuration of 1,800 queues
# takes half a second on a link of 10 Mbit/s; with less patience than the lower
# bound a VM would give every poll up and keep an old configuration.
MIN_POLL_SLACK_S = 1.2
MAX_POLL_SLACK_S = 2.0
POLL_SLACK_FACTOR = 3.0
ROWS_PER_CALL = 500
# A read whose answer is arriving gets this much longer: a configuration of
# 1,800 queues takes a second on a link of 10 Mbit/s that carries other answers.
ARRIVING_EXTRA_S = 5.0
PROBE_TARGET = "/api/rows-get?table=vm&part=&limit=1"


@dataclasses.dataclass(slots=True)
class Row:
    """A row of the store.

    Attributes:
      table: its table.
      part: its partition.
      key: its key.
      value: its bytes.
      version: the version at which it was written.
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
    """A transaction was applied at a version."""

    version: int


@dataclasses.dataclass(slots=True)
class Conflict:
    """A transaction was not applied; the rows are the current ones."""

    rows: list[Row]


@dataclasses.dataclass(slots=True)
class Refused:
    """The store did nothing.

    Attributes:
      status: the HTTP status, 0 if the call was never sent.
    """

    status: int


@dataclasses.dataclass(slots=True)
class Unknown:
    """The call may have been, or may yet be, carried out."""

    reason: str


@dataclasses.dataclass(slots=True)
class Rows:
    """Rows as of one moment.

    Attributes:
      rows: the rows.
      version: the newest version of the store.
      has_more: whether there are further rows.
    """

    rows: list[Row]
    version: int
    has_more: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class StoreClock:
    """A reading of the store's steady clock, which every VM can compare with.

    Attributes:
      now_ms: the reading.
      sent_at: when it was asked for, on the own steady clock.
      received_at: when the answer had come.
    """

    now_ms: float
    sent_at: float
    received_at: float

    def bound_ms(self, moment: float) -> int:
        """Returns what the store's clock shows at most at an own moment."""
        # The reading is in whole milliseconds.
        return math.ceil(self.now_ms + (moment - self.sent_at) * 1000) + 1

    def convert_to_local(self, clock_ms: float) -> float:
        """Returns an own moment at which the store's clock shows a time."""
        return self.received_at + (clock_ms - self.now_ms) / 1000


class HistoryGone:
    """The feed no longer reaches back to the version asked for."""


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


def _encode_transaction(part, expect, put, remove) -> bytes:
    """Returns the body of a transaction; see `StoreClient.commit`."""
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
    """A call to the store that a peer makes for a VM that can't.

    Attributes:
      method: the HTTP method.
      target: path and query.
      body: the body.
      timeout_s: seconds until the call is given up.
    """

    method: str
    target: str
    body: bytes
    timeout_s: float


class StoreClient:
    """The one client of the platform's store.

    Attributes:
      relay: sends a call through a peer, or None to call directly.
      last_answer: when the store last answered directly.
      last_failure: when the store last turned a direct call away.
      last_doubt: when a direct call last had no answer in time, or was one too
        many; a slow store does that to some calls and answers others.
      on_failure: called when a direct call fails.
      clock: the newest reading of the store's clock, or None.
    """

    def __init__(self, address: str, measures: metrics.Metrics):
        self._client = httpclient.HttpClient(address, limit=8)
        # A probe never waits for calls that a silent store leaves open.
        self._probe_client = httpclient.HttpClient(address, limit=1)
        self._metrics = measures
        self.relay = None
        self.on_failure = None
        self.last_answer = -1e9
        self.last_failure = -1e9
        self.last_soft_failure = -1e9
        self.clock: StoreClock | None = None
        self._typical_latency_s = 0.02

    def choose_timeout(self) -> float:
        """Returns the seconds after which a call is given up."""
        scaled_s = TIMEOUT_FACTOR * self._typical_latency_s
        return min(MAX_TIMEOUT_S, max(MIN_TIMEOUT_S, scaled_s))

    async def call_directly(
        self, method: str, target: str, body: bytes, timeout_s: float
    ) -> httpclient.Outcome:
        """Makes a call from this VM and notes whether the store answers."""
        outcome = await self._client.call(
            method,
            target,
            body,
            timeout_s=timeout_s,
            extra_s=ARRIVING_EXTRA_S if method == "GET" else 0.0,
        )
        return self._record_outcome(outcome)

    async def probe(self, timeout_s: float) -> bool:
        """Returns whether the store answers a read of this VM."""
        outcome = await self._probe_client.call(
            "GET", PROBE_TARGET, timeout_s=timeout_s
        )
        outcome = self._record_outcome(outcome)
        return (
            isinstance(outcome, httpclient.Response) and outcome.status == 200
        )

    def fail_calls(self, sent_before: float):
        """Ends the calls that an outage has left without an answer."""
        self._client.fail_calls(sent_before)

    def _record_outcome(
        self, outcome: httpclient.Outcome
    ) -> httpclient.Outcome:
        """Takes note of whether the store has answered a direct call."""
        now = clock.read_clock()
        if isinstance(outcome, httpclient.NoResponse):
            if outcome.reason == httpclient.OVERTAKEN:
                return outcome
            is_soft_failure = outcome.reason == httpclient.TIMEOUT
        elif outcome.status in (429, 503):
            is_soft_failure = outcome.status == 429
        else:
            self.last_answer = now
            return outcome
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
                # A store that answers nothing at all is away, not slow.
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
        """Applies all changes or none.

        Args:
          part: the partition of every row.
          expect: table, key and version that rows must have, 0 for no row.
          put: table, key and value of the rows to write.
          remove: table and key of the rows to remove.
          timeout_s: seconds until the call is given up, None for the usual.

        Returns:
          What became of it.
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
        if outcome.status == 200:
            return Committed(self._decode_response(outcome, sent_at).ver)
        if outcome.status == 412:
            rows = self._decode_response(outcome, sent_at).rows
            return Conflict([_decode_row(row) for row in rows])
        if outcome.status in (429, 503):
            return Refused(outcome.status)
        if outcome.status >= 500:
            return Unknown(str(outcome.status))
        return Refused(outcome.status)

    async def read(
        self,
        table: str,
        part: str,
        first: str = "",
        end: str = "",
        timeout_s: float | None = None,
    ) -> Rows | Refused:
        """Reads the rows of a partition with first <= key < end."""
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
        """Reads a whole partition; the version is that of the first page."""
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
        """Returns the changes of a table since a version, as they come."""
        query = {"table": table, "after": after, "waitMs": int(wait_s * 1000)}
        if wait_s:
            slack_s = max(
                MIN_POLL_SLACK_S, POLL_SLACK_FACTOR * self._typical_latency_s
            )
            timeout_s = wait_s + min(MAX_POLL_SLACK_S, slack_s)
        else:
            timeout_s = self.choose_timeout()
        return await self._read("feed", "/api/rows-feed", query, timeout_s)

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
        message = self._decode_response(outcome, sent_at)
        rows = [_decode_row(row) for row in message.rows]
        return Rows(rows, message.ver, message.has_more)
