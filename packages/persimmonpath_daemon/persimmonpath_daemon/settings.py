"""Settings of an entry VM: one TOML file, checked as a whole."""

import ipaddress
import pathlib
import tomllib
from typing import Annotated

import pydantic

from persimmonpath import errors
from persimmonpath import inventory

Port = Annotated[int, pydantic.Field(ge=1, le=65535)]


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Address(_Model):
    """An IP number and a port."""

    host: pydantic.IPvAnyAddress = ipaddress.ip_address("127.0.0.1")
    port: Port

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class PlatformSettings(_Model):
    """The platform's services.

    Attributes:
        url: Base address of table, object store and VM list.
        timeout_s: Bound on one call in seconds.
    """

    url: pydantic.HttpUrl
    timeout_s: Annotated[float, pydantic.Field(gt=0, le=30)] = 2.0


class ThreadSettings(_Model):
    """Bounds on concurrent work.

    Attributes:
        http: Requests of callers served at once.
        peer: Calls of other entry VMs served at once.
        starts: Starts in flight to workers; a start takes a thread while the
            request runs, so at most this many requests run at once.
        control: Other calls in flight to workers.
    """

    http: Annotated[int, pydantic.Field(ge=2, le=1024)] = 64
    peer: Annotated[int, pydantic.Field(ge=2, le=1024)] = 64
    starts: Annotated[int, pydantic.Field(ge=2, le=1024)] = 256
    control: Annotated[int, pydantic.Field(ge=2, le=256)] = 16


class Settings(_Model):
    """Everything that an entry VM has to be told.

    Attributes:
        vm: Name of this entry VM.
        zone: Its availability zone.
        http: Address for callers.
        peer: Address for other entry VMs.
        platform: The platform's services.
        seeds: Peer addresses of entry VMs of the zone; one of them vouches for
            this VM if it starts while the platform is unavailable.
        threads: Bounds on concurrent work.
        notice_s: Seconds that a graceful shutdown goes on accepting requests,
            so that the load balancer sees that it is not ready.
        drain_s: Longest time that a graceful shutdown waits, in seconds.
        log_level: `debug`, `info`, `warning` or `error`.
    """

    vm: inventory.Name
    zone: inventory.Name
    http: Address
    peer: Address
    platform: PlatformSettings
    seeds: Annotated[tuple[Address, ...], pydantic.Field(max_length=16)] = ()
    threads: ThreadSettings = ThreadSettings()
    notice_s: Annotated[float, pydantic.Field(ge=0, le=60)] = 2.0
    drain_s: Annotated[float, pydantic.Field(gt=0, le=600)] = 30.0
    log_level: Annotated[
        str, pydantic.Field(pattern="^(debug|info|warning|error)$")
    ] = "info"


def parse_settings(text: str) -> Settings:
    """Parses and validates settings.

    Raises:
        errors.InputError: With every fault in one message.
    """
    try:
        return Settings.model_validate(tomllib.loads(text))
    except tomllib.TOMLDecodeError as error:
        raise errors.InputError("settings", str(error), "TOML") from error
    except pydantic.ValidationError as error:
        raise errors.InputError(
            "settings", inventory.describe_faults(error)
        ) from error


def load_settings(path: pathlib.Path) -> Settings:
    """Reads a settings file.

    Raises:
        errors.InputError: If it cannot be read or is not valid.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        raise errors.InputError("settings", str(error)) from error
    return parse_settings(text)
