"""Stand-ins of the platform: its store and the API for machines."""

import asyncio
import base64
import contextlib
import json
import random
import time
from urllib.parse import parse_qs
from urllib.parse import urlsplit

from persimmonpath_entry.transport import httpserver

# A call that stays unanswered sleeps for this long.
FOREVER_S = 3600.0
LATENCY_S = 0.004
TRANSACTION_S = 0.006
ROW_BYTES = 65536
CALL_BYTES = 1 << 20
CALL_ENTRIES = 100
MAINTENANCE_S = 2.0


def respond(status, body=None):
    """Returns an HTTP response with a JSON body."""
    return httpserver.Response(status, json.dumps(body or {}).encode())


class StandIn:
    """Base of the stand-ins: an HTTP server on a loopback port."""

    def __init__(self):
        self.errors = []
        self.server = httpserver.HttpServer(self.handle, self.errors.append)
        self.address = ""

    async def listen(self, port=0):
        """Starts to listen; returns the address as host and port."""
        await self.server.listen("127.0.0.1", port)
        name = self.server._listener.sockets[0].getsockname()
        self.address = f"{name[0]}:{name[1]}"
        return self.address

    def stop(self):
        """Stops listening and breaks all connections."""
        self.server.stop_listening()
        for connection in list(self.server.connections):
            connection._transport.abort()

    async def handle(self, request):
        """Returns the response to a request."""
        raise NotImplementedError


class Store(StandIn):
    """The platform's store, with the limits that PROTOCOL.md names.

    Attributes:
      late_share: share of the transactions that get no answer and are carried
        out `late_s` seconds later if their condition still holds.
      late_s: shortest and longest delay of these transactions.
      refused_rows: what was refused for its size, as texts.
    """

    def __init__(self, seed=1):
        super().__init__()
        self.rows = {}
        self.newest = {}
        self.version = 0
        self.late_share = 0.0
        self.late_s = (1.0, 6.0)
        self.refused_rows = []
        self.unanswered = []
        self._random = random.Random(seed)
        self._changed = asyncio.Condition()

    async def handle(self, request):
        """Serves transactions, reads and the feed."""
        url = urlsplit(request.target)
        name = url.path.rsplit("/", 1)[-1]
        await asyncio.sleep(LATENCY_S)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        if name == "rows-tx":
            return await self._handle_transaction(request.body)
        if name == "rows-get":
            return self._read(query)
        if name == "rows-feed":
            return await self._follow(query)
        return respond(404)

    async def _handle_transaction(self, data):
        body = json.loads(data)
        await asyncio.sleep(TRANSACTION_S)
        fault = self._find_oversize(data, body)
        if fault:
            self.refused_rows.append(fault)
            return respond(400, {"error": fault})
        if self._random.random() < self.late_share:
            keys = [row["key"] for row in body.get("put", [])]
            self.unanswered.append(keys)
            await asyncio.sleep(self._random.uniform(*self.late_s))
            await self.apply(body)
            await asyncio.sleep(FOREVER_S)
        return await self.apply(body)

    def _find_oversize(self, data, body):
        entries = sum(len(body.get(k, ())) for k in ("expect", "put", "remove"))
        if len(data) > CALL_BYTES or entries > CALL_ENTRIES:
            return f"call: {len(data)} bytes, {entries} entries"
        for row in body.get("put", []):
            size = len(base64.b64decode(row["value"]))
            if size > ROW_BYTES:
                return f"row {row['table']}/{row['key']}: {size} bytes"
        return ""

    async def apply(self, body):
        """Applies a transaction; returns the response."""
        expected = [(row, _get_key(row)) for row in body.get("expect", [])]
        if any(self._get_version(k) != row["ver"] for row, k in expected):
            rows = [self._render(key) for _, key in expected]
            return respond(412, self._stamp(rows=rows))
        self.version += 1
        for row in body.get("put", []):
            key = _get_key(row)
            self.rows[key] = (row["value"], self.version)
            self.newest.setdefault(key[0], {})[key] = self.version
        for row in body.get("remove", []):
            key = _get_key(row)
            if self.rows.pop(key, None) is not None:
                self.newest.setdefault(key[0], {})[key] = self.version
        async with self._changed:
            self._changed.notify_all()
        return respond(200, self._stamp())

    def _stamp(self, **fields):
        now_ms = int(time.monotonic() * 1000)
        return {**fields, "ver": self.version, "nowMs": now_ms}

    def _get_version(self, key):
        return self.rows[key][1] if key in self.rows else 0

    def _render(self, key):
        value, version = self.rows.get(key, ("", 0))
        table, part, name = key
        row = {"table": table, "part": part, "key": name, "value": value}
        return {**row, "ver": version}

    def _read(self, query):
        first, end = query.get("from", ""), query.get("to")
        place = query["table"], query.get("part", "")
        keys = sorted(
            key
            for key in self.rows
            if key[:2] == place
            and key[2] >= first
            and (end is None or key[2] < end)
        )
        limit = min(500, int(query.get("limit", 500)))
        rows, size = [], 0
        for key in keys[:limit]:
            size += len(self.rows[key][0])
            if rows and size > CALL_BYTES:
                break
            rows.append(self._render(key))
        has_more = len(keys) > len(rows)
        return respond(200, self._stamp(rows=rows, hasMore=has_more))

    async def _follow(self, query):
        after, table = int(query["after"]), query["table"]
        deadline = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            changed = self._list_changed(table, after)
            left = deadline - time.monotonic()
            if changed or left <= 0:
                break
            async with self._changed:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), left)
        rows = []
        for version, key in sorted(changed):
            row = self._render(key)
            if key not in self.rows:
                row = {**row, "ver": version, "deleted": True}
            rows.append(row)
        return respond(200, self._stamp(rows=rows))

    def _list_changed(self, table, after):
        newest = self.newest.get(table, {})
        return [(v, key) for key, v in newest.items() if v > after]

    async def write(self, table, key, value):
        """Writes a row on behalf of the operator or a worker."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        row = {"table": table, "part": "", "key": key, "value": text}
        await self.apply({"put": [row]})

    async def remove(self, table, key):
        """Removes a row on behalf of the operator or a worker."""
        await self.apply({"remove": [{"table": table, "part": "", "key": key}]})

    def read_value(self, table, part, key):
        """Returns the decoded value of a row, None if there is none."""
        row = self.rows.get((table, part, key))
        return None if row is None else json.loads(base64.b64decode(row[0]))


def _get_key(row):
    return row["table"], row["part"], row["key"]


class Cloud(StandIn):
    """The API for machines.

    Attributes:
      machines: the worker on each machine.
      orders: time, machine, holder and fence of each order carried out.
    """

    def __init__(self):
        super().__init__()
        self.machines = {}
        self.states = {}
        self.orders = []
        self.on_upkeep = None
        self._fences = {}
        self._done = set()

    async def handle(self, request):
        """Lists the machines or carries out an order."""
        await asyncio.sleep(LATENCY_S)
        if request.method == "GET":
            rows = [
                {
                    "machine": name,
                    "pool": worker.service,
                    "state": self.states.get(name, "up"),
                    "zone": "z0",
                    "labels": worker.labels,
                    "capacity": worker.capacity,
                    "id": worker.id,
                }
                for name, worker in self.machines.items()
            ]
            return respond(200, {"machines": rows, "nextToken": None})
        body = json.loads(request.body)
        name, wave = body["machine"], body["wave"]
        fence = int(request.headers["x-fencing-token"])
        if fence < self._fences.get(name, 0):
            return respond(409, {"reason": "fence"})
        self._fences[name] = fence
        if (name, wave) in self._done:
            return respond(200)
        if self.states.get(name, "up") != "up":
            return respond(409, {"reason": "busy"})
        self._done.add((name, wave))
        holder = request.headers["x-lease-holder"]
        self.orders.append((time.monotonic(), name, holder, fence))
        self.states[name] = "upkeep"
        await self.on_upkeep(name)
        return respond(200)
