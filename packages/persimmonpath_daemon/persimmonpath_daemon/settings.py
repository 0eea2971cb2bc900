"""Settings of an entry VM: one TOML file, validated as a whole."""

import ipaddress
import pathlib
import textwrap
import tomllib
from typing import Annotated
from typing import Literal

import pydantic

from persimmonpath import errors
from persimmonpath import inventory
from persimmonpath import validation

Port = Annotated[int, pydantic.Field(ge=1, le=65535)]

COMMENT_WIDTH = 79
# Threads reserved for calls other than running requests, such as /healthz and
# queries for an outcome, while many requests wait for their answers.
RESERVED_HTTP_THREADS = 8


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(
        extra="forbid", frozen=True, use_attribute_docstrings=True
    )


class Address(_Model):
    """An IP address and a port."""

    host: pydantic.IPvAnyAddress = ipaddress.ip_address("127.0.0.1")
    """IP address to listen on, at which others also reach this VM."""

    port: Port
    """TCP port."""

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class PlatformSettings(_Model):
    """The platform's services."""

    url: pydantic.HttpUrl
    """Base URL of the table service, object store and VM list."""

    timeout_s: Annotated[float, pydantic.Field(gt=0, le=30)] = 2.0
    """Timeout of one call in seconds."""


class ThreadSettings(_Model):
    """Numbers of threads, which limit concurrent work."""

    http: Annotated[int, pydantic.Field(ge=16, le=1024)] = 64
    """Calls of callers served concurrently; 8 threads are reserved for calls
    other than running requests."""

    peer: Annotated[int, pydantic.Field(ge=2, le=1024)] = 64
    """Calls of other entry VMs served concurrently."""

    starts: Annotated[int, pydantic.Field(ge=2, le=1024)] = 256
    """Starts in flight to workers. A start occupies a thread while its request
    runs, so at most this many requests run concurrently."""

    control: Annotated[int, pydantic.Field(ge=2, le=256)] = 16
    """Other calls in flight to workers."""


class ClientSettings(_Model):
    """Limits for the clients of the address that serves callers."""

    head_bytes: Annotated[int, pydantic.Field(ge=1024, le=1 << 20)] = 32768
    """Largest head of a call in bytes; larger ones are rejected with 431."""

    head_lines: Annotated[int, pydantic.Field(ge=16, le=65536)] = 4096
    """Most header lines; more are rejected with 431."""

    target_bytes: Annotated[int, pydantic.Field(ge=256, le=1 << 20)] = 16384
    """Longest path and query in bytes; longer ones are rejected with 414."""

    head_s: Annotated[float, pydantic.Field(gt=0, le=60)] = 5.0
    """Time in seconds for a whole head to arrive; later ones are rejected
    with 408."""

    body_s: Annotated[float, pydantic.Field(gt=0, le=600)] = 20.0
    """Time in seconds for a whole body to arrive."""

    connections: Annotated[int, pydantic.Field(ge=16, le=65536)] = 1024
    """Open connections, at most half of the descriptors of the process. A new
    one replaces the one that has been idle longest; if none is idle, it gets
    503."""

    waiting: Annotated[int, pydantic.Field(ge=16, le=65536)] = 512
    """Connections with a call that wait for a thread; more get 503."""

    body_budget_bytes: Annotated[int, pydantic.Field(ge=4 << 20)] = 16 << 20
    """Bytes that the bodies of all calls may occupy; a call beyond it is
    rejected with 503. The default suffices for a body of 256 kB on each of 64
    threads."""


class LogSettings(_Model):
    """Log output to standard error."""

    level: Literal["debug", "info", "warning", "error"] = "info"
    """Minimum severity of the events that are written."""

    spans: bool = False
    """Whether trace spans are written, as events of level info."""


class Settings(_Model):
    """All settings of an entry VM."""

    vm: inventory.Name
    """Name of this entry VM, unique within its zone."""

    zone: inventory.Name
    """Availability zone of this entry VM."""

    seeds: Annotated[tuple[Address, ...], pydantic.Field(max_length=16)] = ()
    """Peer addresses (host, port) of entry VMs of the zone. If this VM starts
    while the platform is unavailable, one of them confirms its
    configuration."""

    notice_s: Annotated[float, pydantic.Field(ge=0, le=60)] = 2.0
    """Time in seconds for which a graceful shutdown keeps accepting requests,
    so that the load balancer detects that this VM is not ready."""

    drain_s: Annotated[float, pydantic.Field(gt=0, le=600)] = 30.0
    """Maximum time in seconds to wait for requests in a graceful shutdown."""

    client_timeout_s: Annotated[float, pydantic.Field(gt=0, le=60)] = 5.0
    """Timeout in seconds for reading from a caller in the middle of a call."""

    peer_connections: Annotated[int, pydantic.Field(ge=16, le=65536)] = 256
    """Connections of other entry VMs, at most an eighth of the descriptors of
    the process; further ones are closed."""

    http: Address
    """Address that serves callers and operators."""

    peer: Address
    """Address that serves other entry VMs."""

    platform: PlatformSettings
    """The platform's services."""

    clients: ClientSettings = ClientSettings()
    """Limits for the clients of the address that serves callers."""

    threads: ThreadSettings = ThreadSettings()
    """Numbers of threads, which limit concurrent work."""

    log: LogSettings = LogSettings()
    """Log output to standard error."""

    @pydantic.model_validator(mode="after")
    def _check(self) -> "Settings":
        if str(self.http) == str(self.peer):
            raise ValueError(f"http and peer have the same address {self.http}")
        return self


def parse_settings(text: str) -> Settings:
    """Parses and validates settings.

    Raises:
        errors.InputError: If they are not valid; the message lists every fault.
    """
    try:
        return Settings.model_validate(tomllib.loads(text))
    except tomllib.TOMLDecodeError as error:
        raise errors.InputError("settings", str(error), "TOML") from error
    except pydantic.ValidationError as error:
        raise errors.InputError(
            "settings",
            validation.describe_field_errors(error, Settings, "settings"),
            "what `persimmond --print-defaults` prints",
        ) from error


def load_settings(path: pathlib.Path) -> Settings:
    """Reads and validates a settings file.

    Raises:
        errors.InputError: If it cannot be read or is not valid.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise errors.InputError("settings", str(error)) from error
    return parse_settings(text)


# Values that are printed for settings without a default.
_EXAMPLES = {
    "vm": '"entry-1"',
    "zone": '"zone-a"',
    "http.port": "8080",
    "peer.port": "8081",
    "platform.url": '"http://127.0.0.1:8090"',
}


def format_defaults() -> str:
    """Returns a TOML file with every setting, its default and its range.

    A setting without a default is printed with an example and marked as
    required.
    """
    lines = ["# Settings of persimmond."]
    lines += _format_model(Settings, "", Settings.model_json_schema())
    return "\n".join(lines) + "\n"


def _format_model(
    model: type[pydantic.BaseModel], prefix: str, root: dict
) -> list[str]:
    lines = []
    tables = []
    schema = _find_schema(model, root)
    for name, field in model.model_fields.items():
        if _is_model(field.annotation):
            tables += ["", f"# {field.description}", f"[{prefix}{name}]"]
            tables += _format_model(field.annotation, f"{name}.", root)
            continue
        allowed = validation.describe_range(schema["properties"][name], root)
        path = prefix + name
        required = " Required; this is an example." * field.is_required()
        lines += [
            "",
            *_format_comment(field.description),
            f"# Allowed: {allowed}.{required}",
            f"{name} = {_EXAMPLES.get(path) or _format_value(field.default)}",
        ]
    return lines + tables


def _format_comment(text: str) -> list[str]:
    return textwrap.wrap(
        text, COMMENT_WIDTH, initial_indent="# ", subsequent_indent="# "
    )


def _find_schema(model: type[pydantic.BaseModel], root: dict) -> dict:
    return root["$defs"].get(model.__name__, root)


def _is_model(kind: object) -> bool:
    return isinstance(kind, type) and issubclass(kind, pydantic.BaseModel)


def _format_value(value: object) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, int | float):
        return str(value)
    if isinstance(value, tuple):
        return "[" + ", ".join(_format_value(item) for item in value) + "]"
    return f'"{value}"'
