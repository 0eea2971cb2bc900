"""The settings file of a process."""

import os
import tomllib

import msgspec

DEFAULT_METRICS_PORT = 9464
SETTINGS_VARIABLE = "PERSIMMONPATH_BOOT"


class _Listen(msgspec.Struct, frozen=True):
    front: str = ""
    ready: str = ""
    control: str = ""


class _Bounds(msgspec.Struct, rename="camel", frozen=True):
    hold_max_ms: float = 6000
    grace_s: float = 6
    maintenance_s: float = 2
    status_s: float = msgspec.field(name="status_s", default=120)


class _Limits(msgspec.Struct, rename="camel", frozen=True):
    cpu_share: float = 1.0
    cores: float = 1.0
    link_mbps: float = 1000.0


class _Store(msgspec.Struct, rename="camel", frozen=True):
    address: str = ""


class _Machines(msgspec.Struct, rename="camel", frozen=True):
    address: str = ""


class Settings(msgspec.Struct, rename="camel"):
    """The settings of a process; unknown keys are ignored.

    Attributes:
      node_name: the name of the VM.
      ip: its address.
      zone: its availability zone.
      internal_ports: first and last port for the project's own protocol.
      listen: addresses for callers and for the readiness probe.
      bounds: the platform's time bounds.
      limits: what the VM has of processor, network and memory.
      store: the platform's store.
      machines: the interface for moving and maintaining machines.
      advice: address of the placement advisor, or empty.
      metrics_port: where metrics are served; deploy/system.toml names it too.
    """

    node_name: str
    ip: str
    zone: str
    internal_ports: list[int]
    listen: _Listen = msgspec.field(name="listenAddrs", default=_Listen())
    bounds: _Bounds = _Bounds()
    limits: _Limits = _Limits()
    store: _Store = msgspec.field(name="platform", default=_Store())
    machines: _Machines = msgspec.field(name="cloudApi", default=_Machines())
    advice: str = ""
    metrics_port: int = DEFAULT_METRICS_PORT


def load_settings(path: str | None = None) -> Settings | list[str]:
    """Reads and checks the settings file.

    Args:
      path: the file; by default the one that the environment names.

    Returns:
      The settings, or every fault found in the file.
    """
    path = path or os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        return [f"{SETTINGS_VARIABLE}: not set"]
    try:
        with open(path, "rb") as file:
            table = tomllib.load(file)
    except (OSError, tomllib.TOMLDecodeError) as error:
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
    for name, address in addresses.items():
        host, _, port = address.rpartition(":")
        if not host or not port.isdigit():
            errors.append(f"{name}: {address!r}; allowed: HOST:PORT")
    if not settings.internal_ports:
        errors.append("internalPorts: empty; allowed: first and last port")
    if settings.bounds.hold_max_ms < 1000:
        errors.append("bounds.holdMaxMs: below 1000")
    return errors
