"""HTTP client and message bodies of the worker interface."""

from collections.abc import Callable
from concurrent import futures
import dataclasses
from typing import Any
import urllib.parse

from returns import result
import urllib3

from persimmonpath import errors
from persimmonpath import wire
from persimmonpath import work
from persimmonpath import workers

# Connections of one worker for starts.
MAX_CONNECTIONS = 32
CONNECT_TIMEOUT_S = 1.0
# Base64 in JSON takes 4/3 of the answer's size; the other fields are small.
MAX_RECORD_BYTES = work.MAX_ANSWER_BYTES * 3 // 2 + (64 << 10)
MAX_LISTING_BYTES = 64 << 20
_BODY_LIMITS = {
    workers.AttemptRecord: MAX_RECORD_BYTES,
    workers.Renewal: MAX_LISTING_BYTES,
    workers.Listing: MAX_LISTING_BYTES,
}


@dataclasses.dataclass(frozen=True, slots=True)
class FenceBody:
    """Body of `POST /fence`."""

    epoch: int
    owner: str
    lease_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class RenewBody:
    """Body of `POST /renew`."""

    epoch: int
    lease_s: float
    acknowledged: int


@dataclasses.dataclass(frozen=True, slots=True)
class StartBody:
    """Body of `POST /tasks`."""

    start: workers.StartTask
    wait: bool


@dataclasses.dataclass(frozen=True, slots=True)
class CloseBody:
    """Body of `POST /tombstones`."""

    attempt: str
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class ControlBody:
    """Body of `POST /control`."""

    attempt: str
    action: workers.Action
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class ErrorBody:
    """Body of a response with status 409."""

    error: str
    reason: str = ""


_ERRORS: dict[str, Callable[[str], errors.WorkerError]] = {
    "stale_epoch": errors.StaleEpochError,
    "lease_lapsed": errors.LeaseLapsedError,
    "refused": errors.StartRefusedError,
    "unknown_attempt": errors.UnknownAttemptError,
}
_ERROR_NAMES = {kind: name for name, kind in _ERRORS.items()}


def describe_error(error: errors.WorkerError) -> ErrorBody:
    """Returns the response body for an error of a worker."""
    reason = getattr(error, "reason", "") or str(error)
    return ErrorBody(_ERROR_NAMES[type(error)], reason)


class HttpWorker(workers.WorkerClient):
    """Calls to one worker over HTTP.

    Starts and control calls use separate executors and connections, so that
    starts on unresponsive connections cannot delay a renewal.
    """

    def __init__(
        self,
        host: str,
        port: int,
        starts: futures.Executor,
        control: futures.Executor,
    ):
        """Creates a client; no connection is opened.

        Args:
            host: IP address.
            port: TCP port.
            starts: Executor of the calls that start attempts.
            control: Executor of all other calls.
        """
        self._starts = starts
        self._control = control
        self._start_pool = self._create_pool(host, port, MAX_CONNECTIONS)
        self._control_pool = self._create_pool(host, port, 4)

    def fence(self, epoch, owner, lease_s, timeout_s):
        """Sets the owner register and lists attempts."""
        body = FenceBody(epoch, owner, lease_s)
        return self._post("/fence", body, workers.Listing, timeout_s)

    def renew(self, epoch, lease_s, acknowledged, timeout_s):
        """Extends the owner lease."""
        body = RenewBody(epoch, lease_s, acknowledged)
        return self._post("/renew", body, workers.Renewal, timeout_s)

    def start(self, start, wait, timeout_s):
        """Starts an attempt."""
        return self._starts.submit(
            self._call,
            self._start_pool,
            "POST",
            "/tasks",
            wire.encode(StartBody(start, wait)),
            workers.AttemptRecord,
            timeout_s,
            start.attempt,
        )

    def close(self, attempt, epoch, timeout_s):
        """Prevents a start that has not happened."""
        body = CloseBody(attempt, epoch)
        return self._post(
            "/tombstones", body, workers.AttemptRecord, timeout_s, attempt
        )

    def inspect(self, attempt, timeout_s):
        """Returns the record of an attempt."""
        path = "/tasks/" + urllib.parse.quote(attempt, safe="")
        return self._control.submit(
            self._call,
            self._control_pool,
            "GET",
            path,
            None,
            workers.AttemptRecord,
            timeout_s,
            attempt,
        )

    def control(self, attempt, action, epoch, timeout_s):
        """Applies an action to a running attempt."""
        body = ControlBody(attempt, action, epoch)
        return self._post(
            "/control", body, workers.AttemptRecord, timeout_s, attempt
        )

    def disconnect(self):
        """Closes every idle connection."""
        self._start_pool.close()
        self._control_pool.close()

    def _create_pool(
        self, host: str, port: int, size: int
    ) -> urllib3.HTTPConnectionPool:
        return urllib3.HTTPConnectionPool(host, port, maxsize=size, block=True)

    def _post(
        self,
        path: str,
        body: Any,
        kind: type,
        timeout_s: float,
        attempt: str = "",
    ) -> futures.Future:
        return self._control.submit(
            self._call,
            self._control_pool,
            "POST",
            path,
            wire.encode(body),
            kind,
            timeout_s,
            attempt,
        )

    def _call(
        self,
        pool: urllib3.HTTPConnectionPool,
        method: str,
        path: str,
        body: bytes | None,
        kind: type,
        timeout_s: float,
        attempt: str,
    ) -> result.Result[Any, errors.WorkerError]:
        timeout = urllib3.Timeout(
            connect=min(CONNECT_TIMEOUT_S, timeout_s), read=timeout_s
        )
        try:
            reply = pool.urlopen(
                method,
                path,
                body=body,
                timeout=timeout,
                retries=False,
                pool_timeout=timeout_s,
                preload_content=False,
            )
            data = _read_body(reply, _BODY_LIMITS[kind])
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
            urllib3.exceptions.EmptyPoolError,
        ) as error:
            return result.Failure(errors.WorkerNotContactedError(str(error)))
        except urllib3.exceptions.HTTPError as error:
            return result.Failure(errors.WorkerUnreachableError(str(error)))
        return _parse_reply(reply.status, data, kind, attempt)


def _read_body(reply: urllib3.BaseHTTPResponse, limit: int) -> bytes:
    """Reads the complete body of a response.

    Raises:
        urllib3.exceptions.HTTPError: If it is longer than `limit` bytes,
            shorter than announced, or not received in time.
    """
    data = reply.read(limit + 1)
    if len(data) > limit:
        reply.close()
        raise urllib3.exceptions.HTTPError(f"answer exceeds {limit} bytes")
    reply.drain_conn()
    reply.release_conn()
    return data


def _parse_reply(
    status: int, data: bytes, kind: type, attempt: str
) -> result.Result[Any, errors.WorkerError]:
    try:
        if status == 409:
            body = wire.decode(ErrorBody, data)
            create = _ERRORS.get(body.error, errors.WorkerUnreachableError)
            return result.Failure(create(body.reason))
        if status != 200:
            return result.Failure(
                errors.WorkerUnreachableError(f"status {status}")
            )
        value = wire.decode(kind, data)
    except errors.InputError as error:
        return result.Failure(errors.WorkerUnreachableError(str(error)))
    if not all(map(workers.is_intact, _list_records(value))):
        return result.Failure(errors.WorkerUnreachableError("answer damaged"))
    # A response for another attempt must never reach this caller.
    if attempt and value.attempt != attempt:
        return result.Failure(
            errors.WorkerUnreachableError(f"answer for {value.attempt!r}")
        )
    return result.Success(value)


def _list_records(value: Any) -> list[workers.AttemptRecord]:
    match value:
        case workers.AttemptRecord():
            return [value]
        case workers.Listing():
            return value.records
        case workers.Renewal():
            return value.finished
    return []


def create_http_worker(
    host: str, port: int, starts: futures.Executor, control: futures.Executor
) -> workers.WorkerClient:
    """Creates a client of the worker at an address.

    Args:
        host: IP address.
        port: TCP port.
        starts: Executor of the calls that start attempts.
        control: Executor of all other calls.
    """
    return HttpWorker(host, port, starts, control)
