"""Reads and validates the settings file of a process."""

import os
import tomllib

import msgspec

from persimmonpath import httplimits
from persimmonpath_entry.state import numbers

DEFAULT_METRICS_PORT = 9464
# The rows of owners and VMs need this much.
MIN_ROW_BYTES = 4096
# Settings of [http] for which 0 has a meaning of its own.
_MAY_BE_ZERO = (
    "max_connections",
    "max_connections_per_address",
    "budget_bytes",
)
_HTTP = httplimits.HttpLimits()
SETTINGS_VARIABLE = "PERSIMMONPATH_BOOT"


class _Listen(msgspec.Struct, frozen=True):
    front: str = ""
    ready: str = ""
    control: str = ""


class _Bounds(msgspec.Struct, rename="camel", frozen=True):
    hold_max_ms: float = 6000
    lease_ms: float = 3000
    grace_s: float = 6
    addr_reuse_s: float = 2
    maintenance_s: float = 2
    # Whether calls with a key are refused with 503 once the configuration has
    # not been confirmed for revoke_ms.
    strict_revoke: bool = False
    revoke_ms: float = 5000
    far_x: float = 1.5
    status_s: float = msgspec.field(name="status_s", default=120)


class _Limits(msgspec.Struct, rename="camel", frozen=True):
    cpu_share: float = 1.0
    cores: float = 1.0
    link_mbps: float = 1000.0
    # 0: not known.
    memory_mb: int = 0
    max_fds: int = 0


class _Http(msgspec.Struct, rename="camel", frozen=True):
    """Limits for the clients of each port, see `httplimits.HttpLimits`."""

    max_head_bytes: int = _HTTP.head_bytes
    max_head_lines: int = _HTTP.head_lines
    max_target_bytes: int = _HTTP.target_bytes
    max_body_bytes: int = _HTTP.body_bytes
    head_timeout_ms: float = _HTTP.head_s * 1000
    body_timeout_ms: float = _HTTP.body_s * 1000
    idle_timeout_ms: float = _HTTP.idle_s * 1000
    unread_timeout_ms: float = _HTTP.unread_s * 1000
    max_queued_requests: int = _HTTP.queued
    # 0: derived from the machine, or no limit of its own.
    max_connections: int = 0
    max_connections_per_address: int = 0
    budget_bytes: int = 0
    socket_buffer_bytes: int = _HTTP.socket_bytes


class _Store(msgspec.Struct, rename="camel", frozen=True):
    address: str = ""
    row_bytes: int = 65536
    writes_per_s: numbers.Amount = 600


class _Machines(msgspec.Struct, rename="camel", frozen=True):
    address: str = ""


class Settings(msgspec.Struct, rename="camel"):
    """The settings of a process; unknown keys are ignored.

    Attributes:
      node_name: name of the VM.
      ip: IP address of the VM.
      zone: availability zone of the VM.
      internal_ports: first and last port for calls between entry VMs.
      listen: listen addresses for callers, the readiness probe and control;
        `listenAddrs` in the file.
      bounds: time limits of the platform.
      limits: CPU, network bandwidth, memory and open files of the VM.
      http: limits for the clients of its HTTP ports.
      store: address of the platform's store, the largest row that it takes,
        in bytes, and the write calls that it takes in a second from all VMs
        together; `platform` in the file.
      machines: address of the API for machines; `cloudApi` in the file.
      advice: address of the placement advisor, or empty.
      metrics_port: port on which metrics are served; deploy/system.toml names
        the same port.
    """

    node_name: str
    ip: str
    zone: str
    internal_ports: list[int]
    listen: _Listen = msgspec.field(name="listenAddrs", default=_Listen())
    bounds: _Bounds = _Bounds()
    limits: _Limits = _Limits()
    http: _Http = _Http()
    store: _Store = msgspec.field(name="platform", default=_Store())
    machines: _Machines = msgspec.field(name="cloudApi", default=_Machines())
    advice: str = ""
    metrics_port: int = DEFAULT_METRICS_PORT


def find_path() -> str:
    """Returns the path of the settings file, empty if none is named."""
    return os.environ.get(SETTINGS_VARIABLE, "")


def load_settings(path: str | None = None) -> Settings | list[str]:
    """Reads and validates the settings file.

    Args:
      path: the file; by default the one that PERSIMMONPATH_BOOT names.

    Returns:
      The settings, or the errors found in the file.
    """
    path = path or find_path()
    if not path:
        return [f"{SETTINGS_VARIABLE}: not set"]
    try:
        with open(path, "rb") as file:
            table = tomllib.load(file)
    except (OSError, ValueError) as error:
        # A file that isn't UTF-8 raises no TOMLDecodeError.
        return [f"{path}: {error}"]
    try:
        settings = msgspec.convert(table, Settings)
    except msgspec.ValidationError as error:
        return [f"{path}: {error}"]
    return _validate(settings) or settings


def _validate(settings: Settings) -> list[str]:
    errors = []
    addresses = {
        "listenAddrs.front": settings.listen.front,
        "listenAddrs.ready": settings.listen.ready,
        "platform.address": settings.store.address,
    }
    if settings.advice:
        addresses["advice"] = settings.advice
    if settings.machines.address:
        addresses["cloudApi.address"] = settings.machines.address
    for name, address in addresses.items():
        host, _, port = address.rpartition(":")
        if not host or not port.isdigit():
            errors.append(f"{name}: {address!r}; allowed: HOST:PORT")
    if not settings.internal_ports:
        errors.append("internalPorts: empty; allowed: first and last port")
    if settings.store.row_bytes < MIN_ROW_BYTES:
        errors.append(f"platform.rowBytes: below {MIN_ROW_BYTES}")
    if not settings.bounds.far_x >= 1:
        errors.append("bounds.farX: below 1")
    if settings.bounds.hold_max_ms < 1000:
        errors.append("bounds.holdMaxMs: below 1000")
    if not settings.bounds.revoke_ms >= 0:
        errors.append("bounds.revokeMs: below 0")
    for field in msgspec.structs.fields(settings.http):
        lowest = 0 if field.name in _MAY_BE_ZERO else 1
        # Also true for a number that isn't one, which TOML can express.
        if not getattr(settings.http, field.name) >= lowest:
            errors.append(f"http.{field.encode_name}: below {lowest}")
    if min(settings.limits.memory_mb, settings.limits.max_fds) < 0:
        errors.append("limits.memoryMb, limits.maxFds: below 0")
    return errors


def derive_http_limits(settings: Settings, port: str) -> httplimits.HttpLimits:
    """Returns the limits for the clients of an HTTP port.

    Args:
      settings: the settings of the process.
      port: name of the port: front, peer, ready or metrics.
    """
    http = settings.http
    base = httplimits.HttpLimits(
        head_bytes=http.max_head_bytes,
        head_lines=http.max_head_lines,
        target_bytes=http.max_target_bytes,
        body_bytes=http.max_body_bytes,
        head_s=http.head_timeout_ms / 1000,
        body_s=http.body_timeout_ms / 1000,
        idle_s=http.idle_timeout_ms / 1000,
        unread_s=http.unread_timeout_ms / 1000,
        queued=http.max_queued_requests,
        connections=http.max_connections,
        address_connections=http.max_connections_per_address,
        budget_bytes=http.budget_bytes,
        socket_bytes=http.socket_buffer_bytes,
    )
    return httplimits.derive_limits(
        base, port, settings.limits.memory_mb, settings.limits.max_fds
    )
