"""Parses HTTP/1.1 requests within the limits for clients."""

from collections.abc import Callable
import enum

import httptools

from persimmonpath import httplimits
from persimmonpath_entry.transport import httpmessages

# What a header line has beside its name and its value, at least.
LINE_BYTES = 3
# Largest piece of a body to which further bytes are appended.
PIECE_BYTES = 4096
# Most bytes between two requests: empty lines, which clients needn't send.
BLANK_BYTES = 4096
# Fields that the parser and the server need themselves.
FRAMING_FIELDS = (
    "host",
    "connection",
    "content-length",
    "transfer-encoding",
    "expect",
)


class Stage(enum.IntEnum):
    """What has arrived of the current request."""

    NONE = 0
    HEAD = 1
    BODY = 2


class RejectionError(Exception):
    """A request that is invalid or outside the limits.

    Attributes:
      status: the status with which it is answered.
      reason: why, as it is counted.
    """

    def __init__(self, status: int, reason: str):
        super().__init__(reason)
        self.status = status
        self.reason = reason


class RequestParser:
    """Turns what a connection receives into requests.

    Attributes:
      stage: what has arrived of the current request.
      held: bytes that the current request occupies, as of the last part.
      has_ended: whether the last request was that of the connection.
      expects_continue: whether the client waits to be told to send the body.
    """

    def __init__(
        self,
        limits: httplimits.HttpLimits,
        find_field: Callable[[bytes], str | None],
        queue_request: Callable[[httpmessages.Request, int], None],
    ):
        """Creates the parser of a connection.

        Args:
          limits: the limits for clients.
          find_field: returns the name of a header field as text, None if it
            isn't needed.
          queue_request: receives each request and the bytes that it occupies;
            raises RejectionError if there is no room for it.
        """
        self._limits = limits
        self._find_field = find_field
        self._queue_request = queue_request
        self._parser = httptools.HttpRequestParser(self)
        # Why the parser was stopped.
        self._rejection: RejectionError | None = None
        self.stage = Stage.NONE
        self.held = 0
        self.has_ended = False
        self.expects_continue = False
        # Whether the last part contained a piece of a body or ended a request.
        self._has_advanced = False
        self._method = b""
        self._blank_bytes = 0
        self._reset_request()

    def _reset_request(self):
        self._target = b""
        self._headers: dict[str, str] = {}
        # The fields of the head, while those of a trailer may follow.
        self._kept: dict[str, str] | None = None
        # Pieces of the body and their bytes. One buffer that grows would leave
        # holes in the heap, which the budget doesn't count.
        self._body: list[bytes | bytearray] = []
        self._body_bytes = 0
        # Bytes of the head by complete lines, and all received in this stage.
        self._head_bytes = 0
        self._raw_bytes = 0
        self._line_count = 0

    def feed(self, data: memoryview):
        """Parses received data and checks what it leaves incomplete.

        Raises:
          RejectionError: if a request is rejected; nothing can be parsed then.
        """
        while True:
            self._has_advanced = False
            try:
                self._parser.feed_data(data)
                break
            except httptools.HttpParserUpgrade as error:
                data = data[error.args[0] :]
                if not self.has_ended:
                    self._replay_without_upgrade()
                if self.has_ended or not len(data):
                    return
            except httptools.HttpParserError:
                if self.has_ended:
                    return
                raise self._rejection or RejectionError(
                    400, "malformed"
                ) from None
        if self.stage is not Stage.NONE:
            self._check_incomplete(len(data))
        elif not self._has_advanced:
            self._blank_bytes += len(data)
            if self._blank_bytes > BLANK_BYTES:
                raise RejectionError(400, "blank")

    def stop(self):
        """Drops what was received; nothing can be parsed then.

        The parser of httptools refers to this one.
        """
        self._parser = None
        self.stage = Stage.NONE
        self._reset_request()

    def _check_incomplete(self, size: int):
        """Checks and measures the incomplete request after a part of `size`."""
        # A part without progress belongs to the head as a whole, or to chunk
        # extensions and trailers. The parser keeps the beginning of a line,
        # which no callback has counted yet.
        if not self._has_advanced:
            self._raw_bytes += size
        elif self.stage is Stage.BODY:
            self._raw_bytes = 0
        self._check_head()
        if self._raw_bytes > self._limits.head_bytes:
            raise RejectionError(431, "head_bytes")
        head = max(self._head_bytes + len(self._target), self._raw_bytes, 1)
        self.held = head + self._body_bytes

    def _check_head(self):
        """Checks whether the head and the trailer exceed their limits.

        All that isn't checked before is less than a part of received data, of
        which only the fields that are read are kept.
        """
        limits = self._limits
        count = self._line_count
        size = self._head_bytes + LINE_BYTES * count + len(self._target)
        if size > limits.head_bytes:
            self._stop(431, "head_bytes")
        if count > limits.head_lines:
            self._stop(431, "head_lines")

    def _stop(self, status: int, reason: str):
        """Rejects the request; what a callback raises stops the parser."""
        self._rejection = RejectionError(status, reason)
        raise self._rejection

    # Callbacks of httptools.

    def on_message_begin(self):
        """Begins a request."""
        self.stage = Stage.HEAD

    def on_url(self, url: bytes):
        """Takes a part of the target."""
        self._target += url
        if len(self._target) > self._limits.target_bytes:
            self._stop(414, "target")

    def on_header(self, name: bytes, value: bytes):
        """Takes a header field."""
        self._line_count += 1
        self._head_bytes += len(name) + len(value)
        key = self._find_field(name.lower())
        if key is not None:
            if key == "host" and key in self._headers:
                self._stop(400, "malformed")
            self._headers[key] = value.decode("latin-1")

    def on_headers_complete(self):
        """Checks the head and what it announces."""
        self.stage = Stage.BODY
        self._raw_bytes = 0
        self._check_head()
        headers = self._headers
        length = headers.get("content-length")
        if length is not None and int(length) > self._limits.body_bytes:
            self._stop(413, "body")
        if "expect" in headers:
            self._check_expectation(length)
        if "transfer-encoding" in headers:
            # Fields of a trailer aren't used.
            self._kept, self._headers = headers, {}

    def _check_expectation(self, length: str | None):
        """Notes whether the client waits for the status 100."""
        has_body = length not in (None, "0")
        self.expects_continue = (
            (has_body or "transfer-encoding" in self._headers)
            and self._headers["expect"].lower() == "100-continue"
            and self._parser.get_http_version() == "1.1"
        )

    def on_body(self, body: bytes):
        """Takes a part of the body."""
        self._has_advanced = True
        pieces = self._body
        if pieces and len(pieces[-1]) + len(body) <= PIECE_BYTES:
            if type(pieces[-1]) is bytes:
                pieces[-1] = bytearray(pieces[-1])
            pieces[-1] += body
        else:
            pieces.append(body)
        self._body_bytes += len(body)
        if self._body_bytes > self._limits.body_bytes:
            self._stop(413, "body")

    def on_message_complete(self):
        """Ends a request, unless its body isn't parsed yet."""
        self._method = self._parser.get_method()
        if not self._parser.should_upgrade():
            self.complete_request()

    def complete_request(self):
        """Passes the current request on."""
        if self._kept is not None:
            self._check_head()
            self._headers, self._kept = self._kept, None
        self._has_advanced = True
        self.expects_continue = False
        request = httpmessages.Request(
            self._method.decode("latin-1"),
            self._target.decode("latin-1"),
            self._headers,
            b"".join(self._body),
        )
        is_last = not self._parser.should_keep_alive()
        if is_last:
            request.headers["connection"] = "close"
        size = self._head_bytes + len(self._target) + self._body_bytes
        self.stage = Stage.NONE
        self.held = 0
        self._blank_bytes = 0
        self._reset_request()
        try:
            self._queue_request(request, size + httplimits.REQUEST_BYTES)
        except RejectionError as rejection:
            self._rejection = rejection
            raise
        self.has_ended = is_last

    # Requests with Upgrade.

    def _replay_without_upgrade(self):
        """Prepares to parse what follows the head of a request with Upgrade.

        The field is ignored and the request answered.
        The parser takes what follows the head of such a request for another
        protocol. A new one gets a head with the same framing instead.
        """
        version = self._parser.get_http_version()
        lines = [f"POST / HTTP/{version}\r\n"]
        headers = self._headers if self._kept is None else self._kept
        for name in ("content-length", "transfer-encoding"):
            if name in headers:
                lines.append(f"{name}: {headers[name]}\r\n")
        options = headers.get("connection", "").lower()
        for option in ("close", "keep-alive"):
            if option in options:
                lines.append(f"connection: {option}\r\n")
        lines.append("\r\n")
        self._parser = httptools.HttpRequestParser(_BodyCallbacks(self))
        self.feed(memoryview("".join(lines).encode("latin-1")))


class _BodyCallbacks:
    """The callbacks of a parser that gets a body behind a replaced head.

    Requests that follow the body are parsed as usual.
    """

    def __init__(self, parser: RequestParser):
        self._parser = parser
        self._is_head_replaced = True
        self.on_body = parser.on_body

    def on_message_begin(self):
        if not self._is_head_replaced:
            self._parser.on_message_begin()

    def on_url(self, url: bytes):
        if not self._is_head_replaced:
            self._parser.on_url(url)

    def on_header(self, name: bytes, value: bytes):
        if not self._is_head_replaced:
            self._parser.on_header(name, value)

    def on_headers_complete(self):
        if not self._is_head_replaced:
            self._parser.on_headers_complete()

    def on_message_complete(self):
        if self._is_head_replaced:
            self._is_head_replaced = False
            self._parser.complete_request()
        else:
            self._parser.on_message_complete()
