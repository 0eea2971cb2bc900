"""Stand-in for the platform's store: transactions, range reads, the feed."""

import asyncio
import base64
import collections
import contextlib
import json
import time
from urllib.parse import parse_qs
from urllib.parse import urlsplit

from review.stands_3 import http1

MAX_ENTRIES = 100
MAX_ROWS = 500
MAX_WAIT_S = 30.0
TX_S = 0.006
ANSWER_S = 0.004
# The way of a call between two zones and back, as for tkh-passes.
ROUND_TRIP_S = 0.0078


def read_ms():
    """Returns the store's steady clock in milliseconds."""
    return int(time.monotonic() * 1000)


class Store:
    """A store as PROTOCOL.md describes it.

    Attributes:
      rows: value and version by table, partition and key.
      version: the newest version.
      address: host and port, once `listen` has returned.
    """

    def __init__(self):
        """Starts empty."""
        self.rows = {}
        self.version = 0
        self.address = ""
        self._changes = []
        self._changed = asyncio.Event()
        self._locks = collections.defaultdict(asyncio.Lock)
        self._server = http1.Server(self.handle)

    async def listen(self, host):
        """Starts to listen."""
        self.address = await self._server.listen(host)

    def close(self):
        """Stops."""
        self._server.close()

    async def handle(self, request):
        """Serves a call."""
        url = urlsplit(request.target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        name = url.path.rsplit("/", 1)[-1]
        await asyncio.sleep(ROUND_TRIP_S + ANSWER_S)
        if name == "rows-tx":
            return await self._transact(json.loads(request.body))
        if name == "rows-get":
            return self._read(query)
        if name == "rows-feed":
            return await self._follow(query)
        return 404, {}

    async def _transact(self, body):
        expect = body.get("expect", [])
        put = body.get("put", [])
        remove = body.get("remove", [])
        if len(expect) + len(put) + len(remove) > MAX_ENTRIES:
            return 400, {}
        parts = {row["part"] for row in (*expect, *put, *remove)}
        if len(parts) != 1:
            return 400, {}
        if any(row["table"] in ("op", "servers") for row in (*put, *remove)):
            return 403, {}
        async with self._locks[parts.pop()]:
            await asyncio.sleep(TX_S)
            return self.apply(expect, put, remove)

    def apply(self, expect, put, remove=()):
        """Applies a transaction at once, or answers with the conflict."""
        if any(self._find(row)[1] != row["ver"] for row in expect):
            return 412, {
                "rows": [self._render(self._key(row)) for row in expect],
                "ver": self.version,
                "nowMs": read_ms(),
            }
        self.version += 1
        for row in put:
            self.rows[self._key(row)] = (row["value"], self.version)
            self._changes.append((self.version, self._key(row)))
        for row in remove:
            self.rows.pop(self._key(row), None)
            self._changes.append((self.version, self._key(row)))
        self._changed.set()
        self._changed = asyncio.Event()
        return 200, {"ver": self.version, "nowMs": read_ms()}

    def write(self, table, key, value, part=""):
        """Writes a row for the operator or a worker."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        row = {"table": table, "part": part, "key": key, "value": text}
        self.apply([], [row])

    def remove(self, table, key, part=""):
        """Removes a row."""
        self.apply([], [], [{"table": table, "part": part, "key": key}])

    def find(self, table, part, key):
        """Returns the decoded value of a row, None if there is none."""
        value, version = self.rows.get((table, part, key), ("", 0))
        return json.loads(base64.b64decode(value)) if version else None

    def _key(self, row):
        return row["table"], row["part"], row["key"]

    def _find(self, row):
        return self.rows.get(self._key(row), ("", 0))

    def _render(self, key):
        value, version = self.rows.get(key, ("", 0))
        table, part, name = key
        return {
            "table": table,
            "part": part,
            "key": name,
            "value": value,
            "ver": version,
            "deleted": not version,
        }

    def _read(self, query):
        part = query.get("part", "")
        keys = sorted(
            key
            for key in self.rows
            if key[0] == query["table"]
            and key[1] == part
            and key[2] >= query.get("from", "")
            and ("to" not in query or key[2] < query["to"])
        )
        limit = min(MAX_ROWS, int(query.get("limit", MAX_ROWS)))
        return 200, {
            "rows": [self._render(key) for key in keys[:limit]],
            "hasMore": len(keys) > limit,
            "ver": self.version,
            "nowMs": read_ms(),
        }

    async def _follow(self, query):
        after = int(query["after"])
        wait_s = min(MAX_WAIT_S, int(query.get("waitMs", 0)) / 1000)
        deadline = time.monotonic() + wait_s
        while True:
            newest = {}
            for version, key in reversed(self._changes):
                if version <= after:
                    break
                if key[0] == query["table"]:
                    newest.setdefault(key, version)
            left = deadline - time.monotonic()
            if newest or left <= 0:
                break
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await self._changed.wait()
        rows = []
        for key, version in sorted(newest.items(), key=lambda row: row[1]):
            row = self._render(key)
            row["ver"] = version
            rows.append(row)
        return 200, {"rows": rows, "ver": self.version, "nowMs": read_ms()}
