"""Calls to entry VMs."""

import dataclasses
import json
from typing import Any

from returns import result
import urllib3
import xxhash

from persimmonpath import errors

CONNECT_TIMEOUT_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Status and parsed JSON body of an answer."""

    status: int
    body: Any


class Client:
    """Calls one of several entry VMs; moves on when one cannot be reached.

    Only a call whose connection was refused is sent to another entry VM, so
    that no call is sent twice.
    """

    def __init__(self, addresses: list[str], timeout_s: float):
        """Creates a client.

        Args:
            addresses: `IP:port` of entry VMs, tried in this order.
            timeout_s: Bound on one call in seconds.
        """
        self._addresses = addresses
        self._timeout = urllib3.Timeout(
            connect=CONNECT_TIMEOUT_S, read=timeout_s
        )
        self._pool = urllib3.PoolManager()

    def call(
        self, method: str, path: str, body: Any = None
    ) -> result.Result[Reply, errors.PeerError]:
        """Makes one call.

        Args:
            method: HTTP method.
            path: Path with query.
            body: Value that is sent as JSON; None for none.
        """
        encoded = None if body is None else json.dumps(body).encode()
        failure = errors.PeerError("no entry VM given", False)
        for address in self._addresses:
            try:
                reply = self._pool.request(
                    method,
                    f"http://{address}{path}",
                    body=encoded,
                    headers={"Content-Type": "application/json"},
                    timeout=self._timeout,
                    retries=False,
                )
            except (
                urllib3.exceptions.NewConnectionError,
                urllib3.exceptions.ConnectTimeoutError,
            ) as error:
                failure = errors.PeerError(str(error), False)
                continue
            except urllib3.exceptions.HTTPError as error:
                return result.Failure(errors.PeerError(str(error), True))
            return _parse(reply)
        return result.Failure(failure)


def _parse(
    reply: urllib3.BaseHTTPResponse,
) -> result.Result[Reply, errors.PeerError]:
    try:
        return result.Success(Reply(reply.status, json.loads(reply.data)))
    except ValueError as error:
        return result.Failure(errors.PeerError(f"bad answer: {error}", True))


def verify_answer(answer: bytes, length: int, checksum: str) -> bool:
    """Returns whether an answer is whole."""
    return len(answer) == length and xxhash.xxh64_hexdigest(answer) == checksum


def create_client(addresses: list[str], timeout_s: float = 30.0) -> Client:
    """Returns a client of entry VMs."""
    return Client(addresses, timeout_s)
