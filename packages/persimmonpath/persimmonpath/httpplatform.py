"""HTTP clients of the platform's table, object store and VM list."""

import dataclasses
import urllib.parse

from returns import result
import urllib3

from persimmonpath import errors
from persimmonpath import machines
from persimmonpath import objectstore
from persimmonpath import tables
from persimmonpath import wire

CALL_TIMEOUT_S = 2.0
MAX_CONNECTIONS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class CommitBody:
    """Body of a commit request."""

    checks: list[tables.Check]
    writes: list[tables.Write]


class _Endpoint:
    """Sends calls to one base URL with limits on connections and time."""

    def __init__(self, url: str, timeout_s: float):
        self._url = url.rstrip("/")
        self._timeout = urllib3.Timeout(total=timeout_s)
        self._pool = urllib3.PoolManager(maxsize=MAX_CONNECTIONS, block=True)

    def call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> urllib3.BaseHTTPResponse:
        """Sends a call once, without retries."""
        return self._pool.request(
            method,
            self._url + path,
            body=body,
            headers=headers,
            timeout=self._timeout,
            retries=False,
        )


class HttpTable(tables.Table):
    """HTTP client of the table service."""

    def __init__(self, url: str, timeout_s: float = CALL_TIMEOUT_S):
        """Creates a client without connecting.

        Args:
            url: Base URL of the service.
            timeout_s: Timeout of a call in seconds.
        """
        self._endpoint = _Endpoint(url, timeout_s)

    def get(self, key):
        """Reads a row."""
        path = "/table/rows/" + urllib.parse.quote(key, safe="")
        return self._read(path).bind(
            lambda body: result.Success(wire.decode(tables.Row | None, body))
        )

    def scan(self, prefix):
        """Reads all rows with a prefix."""
        path = "/table/scan?prefix=" + urllib.parse.quote(prefix, safe="")
        return self._read(path).bind(
            lambda body: result.Success(wire.decode(list[tables.Row], body))
        )

    def commit(self, checks, writes):
        """Applies all writes if all checks hold."""
        body = wire.encode(CommitBody(checks, writes))
        try:
            reply = self._endpoint.call("POST", "/table/commit", body)
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            return result.Failure(errors.TableUnavailableError(str(error)))
        except urllib3.exceptions.HTTPError as error:
            return result.Failure(errors.TableUncertainError(str(error)))
        if reply.status == 200:
            return result.Success(int(reply.data))
        text = reply.data.decode(errors="replace")
        if reply.status == 409:
            return result.Failure(errors.TableConflictError(text))
        if reply.status == 503:
            return result.Failure(errors.TableUnavailableError(text))
        return result.Failure(errors.TableUncertainError(text))

    def _read(self, path: str):
        try:
            reply = self._endpoint.call("GET", path)
        except urllib3.exceptions.HTTPError as error:
            return result.Failure(errors.TableUnavailableError(str(error)))
        if reply.status != 200:
            return result.Failure(
                errors.TableUnavailableError(f"status {reply.status}")
            )
        return result.Success(reply.data)


class HttpObjectStore(objectstore.ObjectStore):
    """HTTP client of the object store."""

    def __init__(self, url: str, timeout_s: float = CALL_TIMEOUT_S):
        """Creates a client without connecting."""
        self._endpoint = _Endpoint(url, timeout_s)

    def put(self, name, body):
        """Stores an object."""
        reply = self._call("PUT", name, body)
        return reply.bind(lambda _: result.Success(None))

    def get(self, name):
        """Reads an object."""
        return self._call("GET", name, None)

    def _call(self, method: str, name: str, body: bytes | None):
        path = "/objects/" + urllib.parse.quote(name, safe="")
        try:
            reply = self._endpoint.call(method, path, body)
        except urllib3.exceptions.HTTPError as error:
            return result.Failure(errors.ObjectError(str(error)))
        if reply.status == 404:
            return result.Success(None)
        if reply.status != 200:
            return result.Failure(errors.ObjectError(f"status {reply.status}"))
        return result.Success(reply.data)


class HttpMachineList(machines.MachineList):
    """HTTP client of the VM list.

    Uses conditional requests (`If-None-Match`), so that a platform that
    supports them does not send an unchanged list again: every entry VM reads
    it, and for 900 VMs it is 36 KB.
    """

    def __init__(self, url: str, timeout_s: float = CALL_TIMEOUT_S):
        """Creates a client without connecting."""
        self._endpoint = _Endpoint(url, timeout_s)
        self._etag = ""
        self._listed: list[machines.Machine] = []

    def read(self):
        """Returns all listed VMs."""
        headers = {"If-None-Match": self._etag} if self._etag else None
        try:
            reply = self._endpoint.call("GET", "/machines", headers=headers)
        except urllib3.exceptions.HTTPError as error:
            return result.Failure(errors.MachineListError(str(error)))
        if reply.status == 304:
            return result.Success(self._listed)
        if reply.status != 200:
            return result.Failure(
                errors.MachineListError(f"status {reply.status}")
            )
        self._listed = wire.decode(list[machines.Machine], reply.data)
        self._etag = reply.headers.get("ETag", "")
        return result.Success(self._listed)
