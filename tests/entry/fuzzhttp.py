"""Fuzz run of the HTTP server, seeded and started by hand.

Usage: python -m tests.entry.fuzzhttp --seed N --examples M

Streams of valid, odd and damaged requests are sent twice, in different pieces.
What is served must not depend on the pieces, valid requests must be answered,
nothing may be raised, and the server must hold nothing once the connections
are closed.
"""

import argparse
import asyncio
import hashlib
import sys

import hypothesis
from hypothesis import strategies as st

from persimmonpath import httplimits
from persimmonpath_entry.transport import httpserver

LIMITS = httplimits.HttpLimits(
    head_bytes=600,
    head_lines=20,
    target_bytes=100,
    body_bytes=300,
    queued=2,
    budget_bytes=200_000,
)
ANSWER_S = 10.0
STATUSES = {100, 200, 400, 408, 413, 414, 431, 503}

_tokens = st.text("abcXYZ-!~0", min_size=1, max_size=12).map(str.encode)
_values = st.binary(max_size=20).map(
    lambda value: bytes(c for c in value if c >= 32 and c != 127)
)
# Lines beside which a request is valid.
VALID_LINES = (
    b"Connection: Upgrade\r\nUpgrade: h2c\r\n",
    b"Connection: close\r\n",
    b"Connection: close, Upgrade\r\nUpgrade: x\r\n",
    b"Expect: 100-continue\r\n",
)
_odd_lines = st.sampled_from(
    [
        *VALID_LINES,
        b"Host: other\r\n",
        b"Content-Length: 3\r\n",
        b"Content-Length: 301\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"Transfer-Encoding: gzip\r\n",
        b"X: " + b"a" * 590 + b"\r\n",
        b"a:\r\n" * 19,
        b"X: a\0b\r\n",
        b" folded\r\n",
    ]
)


def make_answer(method, target, body):
    """Returns the body of the response to a request."""
    text = f"{method.decode()} {target.decode('latin-1')} {body!r}"
    return hashlib.sha256(text.encode()).hexdigest().encode()


@st.composite
def draw_request(draw):
    """Draws one request, mostly a valid one.

    Returns:
      The request as bytes, the body of its response or None if it may be
      rejected, and whether it is the last of its connection.
    """
    method = draw(st.sampled_from([b"GET", b"POST", b"DELETE", b"CONNECT"]))
    target = b"/" + draw(_tokens) * draw(st.sampled_from([1, 1, 1, 9, 20]))
    lines = draw(
        st.lists(st.tuples(_tokens, _values), max_size=4).map(
            lambda fields: [b"%s: %s\r\n" % field for field in fields]
        )
    )
    lines.append(b"Host: h\r\n")
    odd = b""
    if draw(st.integers(0, 3)) == 0:
        odd = draw(_odd_lines)
        lines.append(odd)
    body = draw(st.binary(max_size=40)) * draw(st.sampled_from([1, 1, 8]))
    framing = draw(st.sampled_from(["none", "length", "chunked"]))
    if framing == "none":
        body = b""
    content = body
    if framing == "length":
        lines.append(b"Content-Length: %d\r\n" % len(body))
    elif framing == "chunked":
        lines.append(b"Transfer-Encoding: chunked\r\n")
        size = draw(st.integers(1, 50))
        extension = draw(st.sampled_from([b"", b";a=b"]))
        trailer = draw(st.sampled_from([b"", b"Host: x\r\n"]))
        chunks = [body[i : i + size] for i in range(0, len(body), size)]
        body = b"".join(
            b"%x%s\r\n%s\r\n" % (len(chunk), extension, chunk)
            for chunk in chunks
        )
        body += b"0\r\n" + trailer + b"\r\n"
    head = b"%s %s HTTP/1.1\r\n" % (method, target)
    is_small = len(target) <= LIMITS.target_bytes
    is_small = is_small and len(content) <= LIMITS.body_bytes
    is_valid = odd in (b"", *VALID_LINES) and is_small and method != b"CONNECT"
    answer = make_answer(method, target, content) if is_valid else None
    is_last = b"close" in odd
    blank = draw(st.sampled_from([b"", b"", b"\r\n"]))
    data = blank + head + b"".join(lines) + b"\r\n" + body
    return data, answer, is_last


@st.composite
def draw_stream(draw):
    """Draws a stream of requests, of which some bytes may be damaged.

    Returns:
      The stream, and the bodies of the responses with which it has to begin.
    """
    requests = draw(st.lists(draw_request(), min_size=1, max_size=6))
    stream = b"".join(data for data, _, _ in requests)
    answers = []
    for _, answer, is_last in requests:
        if answer is None:
            break
        answers.append(answer)
        if is_last:
            break
    for _ in range(draw(st.sampled_from([0, 0, 0, 1, 3]))):
        place = draw(st.integers(0, len(stream)))
        removed = draw(st.integers(0, 2))
        inserted = draw(st.binary(max_size=2))
        stream = stream[:place] + inserted + stream[place + removed :]
        answers = []
    return stream, answers


class Fuzzer:
    """Sends streams to a server on the loopback address.

    Attributes:
      faults: what the server or its event loop raised.
      counts: number of responses by status.
    """

    def __init__(self):
        self.faults = []
        self.counts = {}
        self._loop = asyncio.new_event_loop()
        self._loop.set_exception_handler(
            lambda loop, details: self.faults.append(str(details))
        )
        self._server = httpserver.HttpServer(
            self._echo, self.faults.append, LIMITS
        )
        self._loop.run_until_complete(self._server.listen("127.0.0.1", 0))
        listener = self._server._listener.sockets[0]
        self._address = listener.getsockname()[:2]

    async def _echo(self, request):
        await asyncio.sleep(0)
        answer = make_answer(
            request.method.encode(),
            request.target.encode("latin-1"),
            request.body,
        )
        return httpserver.Response(200, answer)

    def check(self, stream, answers, cuts):
        """Checks the responses to a stream, whole and in pieces."""
        whole = self._loop.run_until_complete(self._exchange([stream]))
        places = sorted(
            {0, len(stream), *(c % (len(stream) + 1) for c in cuts)}
        )
        pieces = [
            stream[start:end]
            for start, end in zip(places, places[1:], strict=False)
        ]
        split = self._loop.run_until_complete(self._exchange(pieces))
        assert not self.faults, self.faults
        assert whole == split, (whole, split)
        assert whole[: len(answers)] == answers, (whole, answers)
        server = self._server
        assert server.budget.used == 0, server.budget.used
        assert not server.connections and not server.receiving
        assert not server.waiting and not server.unread

    async def _exchange(self, pieces):
        """Returns the bodies of all responses with status 200."""
        reader, writer = await asyncio.open_connection(*self._address)
        for piece in pieces:
            writer.write(piece)
            # Lets the server read each piece on its own.
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        writer.write_eof()
        async with asyncio.timeout(ANSWER_S):
            answer = await reader.read()
            writer.close()
            while self._server.connections:
                await asyncio.sleep(0)
        return self._parse(answer)

    def _parse(self, answer):
        bodies = []
        while answer:
            head, found, answer = answer.partition(b"\r\n\r\n")
            assert found, head
            status = int(head.split(b" ")[1])
            assert status in STATUSES, status
            self.counts[status] = self.counts.get(status, 0) + 1
            length = 0
            for line in head.split(b"\r\n"):
                if line.startswith(b"Content-Length: "):
                    length = int(line.split(b" ")[1])
            if status == 200:
                bodies.append(answer[:length])
            answer = answer[length:]
        return bodies


def run(seed, examples):
    """Runs the fuzzer; raises what it finds, with the smallest stream."""
    fuzzer = Fuzzer()

    @hypothesis.seed(seed)
    @hypothesis.settings(
        max_examples=examples,
        deadline=None,
        database=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(
        draw_stream(), st.lists(st.integers(0, 5000), max_size=12)
    )
    def check(drawn, cuts):
        fuzzer.faults.clear()
        fuzzer.check(*drawn, cuts)

    check()
    return fuzzer


def main():
    """Runs the command; returns 0 if nothing was found."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--examples", type=int, default=2000)
    options = parser.parse_args()
    fuzzer = run(options.seed, options.examples)
    counts = " ".join(f"{k}={v}" for k, v in sorted(fuzzer.counts.items()))
    print(
        f"fuzz-http: seed={options.seed} examples={options.examples} {counts}"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
