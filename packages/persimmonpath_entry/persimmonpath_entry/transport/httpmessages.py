"""HTTP requests and responses as handlers see them."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import functools

REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    410: "Gone",
    413: "Content Too Large",
    414: "URI Too Long",
    421: "Misdirected Request",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


@dataclasses.dataclass(slots=True)
class Request:
    """A complete HTTP request.

    Attributes:
      method: the HTTP method.
      target: path and query as sent.
      headers: header values by lower-case name.
      body: the whole body.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass(slots=True)
class Response:
    """The HTTP response that a handler returns.

    Attributes:
      status: the HTTP status.
      body: the body, which is sent as application/json.
      retry_after_s: seconds for the Retry-After header, or None.
    """

    status: int
    body: bytes = b"{}"
    retry_after_s: int | None = None


Handler = Callable[[Request], Awaitable[Response]]


@functools.cache
def _format_status(status: int) -> bytes:
    """Returns the lines with which all responses of a status begin."""
    phrase = REASON_PHRASES.get(status, "Other")
    head = f"HTTP/1.1 {status} {phrase}\r\nContent-Type: application/json\r\n"
    return head.encode("latin-1")


def format_response(response: Response, is_last: bool) -> bytes:
    """Returns a response as it is sent.

    Args:
      response: the response.
      is_last: whether the connection is closed after it.
    """
    head = _format_status(response.status)
    if response.retry_after_s is not None:
        head += b"Retry-After: %d\r\n" % response.retry_after_s
    if is_last:
        head += b"Connection: close\r\n"
    body = response.body
    return b"%bContent-Length: %d\r\n\r\n%b" % (head, len(body), body)
