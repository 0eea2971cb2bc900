"""HTTP client of the entry VMs."""

import dataclasses
import json
import time
from typing import Any

from returns import result
import urllib3
import xxhash

from persimmonpath import errors

CONNECT_TIMEOUT_S = 2.0
MIN_TIMEOUT_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """HTTP status and parsed body of a reply.

    Attributes:
        status: HTTP status.
        body: Decoded JSON, or text if the content type is `text/plain`.
    """

    status: int
    body: Any


class Client:
    """HTTP client that fails over between several entry VMs.

    A call that may have reached an entry VM is sent to another one only if it
    is repeatable, that is, if sending it twice cannot run anything twice.
    """

    def __init__(self, addresses: list[str], timeout_s: float):
        """Creates a client.

        Args:
            addresses: `IP:port` of entry VMs, tried in this order.
            timeout_s: Total timeout of one call in seconds, over all entry VMs.
        """
        self._addresses = addresses
        self._timeout_s = timeout_s
        self._pool = urllib3.PoolManager()

    def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        *,
        repeatable: bool | None = None,
        timeout_s: float | None = None,
    ) -> "result.Result[Reply, errors.PeerError]":
        """Sends a call to the first entry VM that can be reached.

        Args:
            method: HTTP method.
            path: Path and query string.
            body: Value to send as JSON; None for an empty body.
            repeatable: Whether the call may be sent to another entry VM when
                the connection breaks; by default true only for GET.
            timeout_s: Total timeout in seconds; None for that of the client.

        Returns:
            The reply, or the last error. Its `sent` is true if any of the
            attempts may have reached an entry VM.
        """
        encoded = b"" if body is None else json.dumps(body).encode()
        if repeatable is None:
            repeatable = method == "GET"
        deadline = time.monotonic() + (timeout_s or self._timeout_s)
        may_have_arrived = False
        failure = errors.PeerError("no entry VM given", False)
        for address in self._addresses:
            remaining_s = deadline - time.monotonic()
            if remaining_s < MIN_TIMEOUT_S:
                break
            reply = self._send(address, method, path, encoded, remaining_s)
            if isinstance(reply, result.Success):
                return reply
            may_have_arrived = may_have_arrived or reply.failure().sent
            failure = errors.PeerError(str(reply.failure()), may_have_arrived)
            if may_have_arrived and not repeatable:
                break
        return result.Failure(failure)

    def _send(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes,
        remaining_s: float,
    ) -> "result.Result[Reply, errors.PeerError]":
        timeout = urllib3.Timeout(
            connect=min(CONNECT_TIMEOUT_S, remaining_s), read=remaining_s
        )
        try:
            reply = self._pool.request(
                method,
                f"http://{address}{path}",
                body=body,
                headers={"Content-Type": "application/json"},
                timeout=timeout,
                retries=False,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
            urllib3.exceptions.LocationParseError,
        ):
            message = f"no connection to {address}"
            return result.Failure(errors.PeerError(message, False))
        except urllib3.exceptions.HTTPError as error:
            message = f"no reply from {address}: {type(error).__name__}"
            return result.Failure(errors.PeerError(message, True))
        return _parse(reply, address)


def _parse(
    reply: urllib3.BaseHTTPResponse, address: str
) -> "result.Result[Reply, errors.PeerError]":
    if reply.headers.get("Content-Type", "").startswith("text/plain"):
        return result.Success(Reply(reply.status, reply.data.decode()))
    try:
        return result.Success(Reply(reply.status, json.loads(reply.data)))
    except ValueError:
        message = f"invalid JSON in the reply from {address}"
        return result.Failure(errors.PeerError(message, True))


def is_answer_intact(answer: bytes, length: int, checksum: str) -> bool:
    """Returns whether an answer matches its length and xxHash64 checksum."""
    return len(answer) == length and xxhash.xxh64_hexdigest(answer) == checksum


def create_client(addresses: list[str], timeout_s: float = 30.0) -> Client:
    """Returns a client of entry VMs.

    Args:
        addresses: `IP:port` of entry VMs, tried in this order.
        timeout_s: Total timeout of one call in seconds, over all entry VMs.
    """
    return Client(addresses, timeout_s)
