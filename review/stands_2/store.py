"""The platform's store: rows in tables, transactions and the feed."""

import asyncio
import base64
import contextlib
import json
import time
from urllib.parse import parse_qs
from urllib.parse import urlsplit

from review.stands_2 import web

# Seconds that a call takes.
CALL_S = 0.004
MAX_ROWS = 500


def read_ms() -> int:
    """Returns the store's steady clock in milliseconds."""
    return int(time.monotonic() * 1000)


class Store:
    """Rows with versions from one counter.

    Attributes:
      last_conditional: the newest row that was written under a condition and
        holds the address of its writer.
    """

    def __init__(self):
        self.version = 0
        self.last_conditional = ""
        # Value (base64) and version by table, part and key.
        self.rows: dict[tuple[str, str, str], tuple[str, int]] = {}
        self._changes: list[tuple[int, tuple[str, str, str], str | None]] = []
        self._changed = asyncio.Event()
        self._server = web.Server(self._handle)

    async def listen(self, host: str, port: int):
        """Starts to serve."""
        await self._server.listen(host, port)

    def close(self):
        """Stops serving."""
        self._server.close()

    def write(self, table: str, key: str, content):
        """Writes a row on behalf of the operator or a worker."""
        value = base64.b64encode(json.dumps(content).encode()).decode()
        self.version += 1
        self._apply((table, "", key), value)
        self._announce()

    def remove(self, table: str, key: str):
        """Removes a row on behalf of the operator or a worker."""
        self.version += 1
        self._apply((table, "", key), None)
        self._announce()

    def _apply(self, name, value: str | None):
        if value is None:
            self.rows.pop(name, None)
        else:
            self.rows[name] = (value, self.version)
        self._changes.append((self.version, name, value))

    def _announce(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request: web.Request):
        url = urlsplit(request.target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        await asyncio.sleep(CALL_S)
        if url.path == "/api/rows-tx":
            return self._transact(request.read_json())
        if url.path == "/api/rows-get":
            return self._read(query)
        if url.path == "/api/rows-feed":
            return await self._follow(query)
        return 404, {}

    def _transact(self, body):
        expected = [
            ((r["table"], r["part"], r["key"]), r["ver"])
            for r in body.get("expect", [])
        ]
        puts = body.get("put", [])
        removes = body.get("remove", [])
        if any(r["table"] in ("op", "servers") for r in [*puts, *removes]):
            return 403, {}
        if any(self._find_version(name) != ver for name, ver in expected):
            rows = [self._render(name) for name, _ in expected]
            return 412, self._stamp({"rows": rows})
        self.version += 1
        if expected:
            self._note_writer(puts)
        for row in puts:
            name = (row["table"], row["part"], row["key"])
            self._apply(name, row["value"])
        for row in removes:
            self._apply((row["table"], row["part"], row["key"]), None)
        self._announce()
        return 200, self._stamp({})

    def _note_writer(self, puts):
        """Keeps the text of a conditional write that names its writer."""
        for row in puts:
            text = base64.b64decode(row["value"]).decode("utf-8", "replace")
            if '"address"' in text:
                self.last_conditional = text

    def _find_version(self, name) -> int:
        return self.rows[name][1] if name in self.rows else 0

    def _render(self, name):
        value, version = self.rows.get(name, ("", 0))
        table, part, key = name
        row = {"table": table, "part": part, "key": key}
        return {**row, "value": value, "ver": version}

    def _stamp(self, content):
        return {**content, "ver": self.version, "nowMs": read_ms()}

    def _read(self, query):
        names = sorted(
            name
            for name in self.rows
            if name[0] == query["table"]
            and name[1] == query.get("part", "")
            and name[2] >= query.get("from", "")
            and ("to" not in query or name[2] < query["to"])
        )
        limit = min(MAX_ROWS, int(query.get("limit", MAX_ROWS)))
        rows = [self._render(name) for name in names[:limit]]
        return 200, self._stamp({"rows": rows, "hasMore": len(names) > limit})

    async def _follow(self, query):
        after = int(query["after"])
        deadline = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            newest = {}
            for version, name, value in reversed(self._changes):
                if version <= after:
                    break
                if name[0] == query["table"] and name not in newest:
                    newest[name] = (version, value)
            left_s = deadline - time.monotonic()
            if newest or left_s <= 0:
                break
            changed = self._changed
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await changed.wait()
        rows = []
        for name, (version, value) in sorted(
            newest.items(), key=lambda entry: entry[1][0]
        ):
            row = {"table": name[0], "part": name[1], "key": name[2]}
            row |= {"value": value or "", "ver": version}
            if value is None:
                row["deleted"] = True
            rows.append(row)
        return 200, self._stamp({"rows": rows})
