"""Converts the platform's wire messages to and from internal types."""

import base64
import dataclasses
from typing import Any

import msgspec

from persimmonpath_entry.platform import tenantmessages
from persimmonpath_entry.state import configuration
from persimmonpath_entry.state import numbers
from persimmonpath_entry.state import submissions

# What decoding an unreadable message raises. Deep nesting exhausts the stack.
UNREADABLE = (msgspec.MsgspecError, ValueError, RecursionError)
MAX_PORT = 65535


class _Step(msgspec.Struct, rename="camel"):
    count: numbers.Count = 0
    cpu: numbers.Count = 0
    mem_mb: numbers.Count = 0
    gpu: numbers.Count = 0
    estimated_ms: numbers.Amount = 0
    # Indices of the steps that have to complete first.
    after: list[int] = []
    gang: bool = False
    # Whether a gang is slower on more than one rack.
    same_rack: bool = False
    # Label that a worker must have.
    requirements: str | list[str] = ""
    # Rack that holds the data of the step.
    affinity: str | list[str] = ""
    # Most tasks of the step on one worker, 0 for no limit.
    anti_affinity: numbers.Count = 0
    # Whether speculative copies of a task may run.
    allow_duplicates: bool = False
    long_running: bool = False
    checkpointing: bool = False
    image: str = ""
    target_ms: numbers.Amount = 0
    # Whether the tasks use only CPU capacity that other tasks leave idle.
    fills: bool = False
    may_miss: numbers.Count = 0


class _Submission(msgspec.Struct, rename="camel"):
    steps: list[_Step]
    spec: str = ""
    start_time_ms: numbers.SignedCount = 0
    interval_ms: numbers.Count = 0
    # Number of occurrences of a periodic submission.
    run_count: numbers.Count = 0


def _get_first(value: str | list[str]) -> str:
    if isinstance(value, str):
        return value
    return value[0] if value else ""


def _translate_step(step: _Step) -> submissions.StepSpec:
    return submissions.StepSpec(
        count=step.count,
        cpu=step.cpu,
        memory_mb=step.mem_mb,
        gpu=step.gpu,
        estimated_ms=step.estimated_ms,
        after=step.after,
        gang=step.gang,
        same_rack=step.same_rack,
        label=_get_first(step.requirements),
        data_rack=_get_first(step.affinity),
        max_per_worker=step.anti_affinity,
        allow_copies=step.allow_duplicates,
        long_running=step.long_running,
        checkpointing=step.checkpointing,
        image=step.image,
        target_ms=step.target_ms,
        is_filler=step.fills,
        may_miss=step.may_miss,
    )


def decode_submission(
    body: bytes,
    queue: configuration.Queue,
    accepted_ms: int,
    tenant: str = "",
) -> submissions.SubmissionRecord | str:
    """Decodes the body of a submit call.

    Args:
      body: the JSON body.
      queue: the queue that the call was routed to.
      accepted_ms: Unix milliseconds at which the call was accepted.
      tenant: the name of the caller's tenant, empty without one.

    Returns:
      The record of the submission, or a text that says what is invalid.
    """
    try:
        message = msgspec.json.decode(body, type=_Submission)
    except UNREADABLE as error:
        return str(error)
    record = submissions.SubmissionRecord(
        queue=queue.name,
        service=queue.service,
        spec=message.spec,
        steps=[_translate_step(step) for step in message.steps],
        accepted_ms=accepted_ms,
        start_ms=message.start_time_ms,
        interval_ms=message.interval_ms,
        occurrences=message.run_count,
        policy=queue.describe_policy(),
        tenant=tenant,
    )
    return (
        submissions.check_steps(record.steps)
        or submissions.check_schedule(record)
        or record
    )


class _Advice(msgspec.Struct, rename="camel"):
    # Time that the advisor takes for a call, and for each worker in it.
    decide_ms: float = 0
    each_ms: float = 0
    valid_ms: float = 0


class _Route(msgspec.Struct, rename="camel"):
    name: str
    hostname: str
    path_prefix: str
    service: str
    priority: numbers.SignedCount = 0
    max_attempts: numbers.SignedCount = 1
    stretch: float = 1
    target_latency_ms: float = 0
    timeout_ms: float = 3000
    advice: _Advice | None = None
    # Whether calls need no key; None if the configuration doesn't say.
    allow_anonymous: bool | None = None


class _Service(msgspec.Struct, rename="camel"):
    name: str
    standby: bool = False


class _Limits(msgspec.Struct, rename="camel", frozen=True):
    max_body_bytes: numbers.Count = 262144


class _Configuration(msgspec.Struct, rename="camel"):
    version: numbers.Count
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = _Limits()
    # Decoded field by field: one faulty tenant must not keep a version from
    # taking hold. None if the configuration has no tenants.
    tenants: Any = None


def _translate_route(route: _Route, has_tenants: bool) -> configuration.Queue:
    advice = None
    if route.advice is not None:
        advice = configuration.AdvicePolicy(
            route.advice.decide_ms, route.advice.each_ms, route.advice.valid_ms
        )
    return configuration.Queue(
        name=route.name,
        host=route.hostname,
        prefix=route.path_prefix,
        service=route.service,
        priority=route.priority,
        max_attempts=route.max_attempts,
        stretch=route.stretch,
        target_latency_ms=route.target_latency_ms,
        timeout_ms=route.timeout_ms,
        advice=advice,
        allows_anonymous=(
            not has_tenants
            if route.allow_anonymous is None
            else route.allow_anonymous
        ),
    )


def decode_configuration(value: bytes) -> configuration.Configuration | str:
    """Decodes a configuration row; returns a text if it is invalid."""
    try:
        message = msgspec.json.decode(value, type=_Configuration)
    except UNREADABLE as error:
        return str(error)
    has_tenants = message.tenants is not None
    decoded = tenantmessages.decode_tenants(
        [] if message.tenants is None else message.tenants
    )
    return configuration.Configuration(
        message.version,
        [_translate_route(route, has_tenants) for route in message.routes],
        [configuration.Service(s.name, s.standby) for s in message.services],
        message.limits.max_body_bytes,
        decoded.tenants,
        decoded.names_by_key,
        decoded.problems,
    )


class _Capacity(msgspec.Struct, rename="camel"):
    cpu: numbers.Count = 0
    mem_mb: numbers.Count = 0
    gpu: numbers.Count = 0


class _Registration(msgspec.Struct, rename="camel"):
    service: str
    address: str
    zone: str
    state: str
    capacity: _Capacity
    labels: list[str]
    sequence: numbers.Count = 0
    remaining_ms: numbers.Amount | None = None
    cold_remaining_ms: numbers.Amount = 0
    machine: str = ""
    born: numbers.Count = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Registration:
    """The registration of a worker, which the worker writes itself.

    Attributes:
      worker_id: id of the worker.
      service: the service that the worker belongs to.
      address: host and port of the worker's HTTP interface.
      zone: availability zone of the worker.
      is_draining: whether the worker is about to leave.
      remaining_ms: milliseconds for which a draining worker stays at least.
      cpu: capacity in thousandths of a core.
      memory_mb: memory in MB.
      gpu: number of accelerators.
      labels: labels of the worker: its kind and, if known, its rack.
      rack: rack of the worker, or empty.
      machine: the machine on which the worker is one incarnation, or empty.
      born: Unix milliseconds at which the worker started, 0 if unknown.
    """

    worker_id: str
    service: str
    address: str
    zone: str
    is_draining: bool
    remaining_ms: float
    cpu: int
    memory_mb: int
    gpu: int
    labels: tuple[str, ...]
    rack: str
    machine: str
    born: int


def _is_token(text: str) -> bool:
    """Returns whether a text can stand in a header line."""
    is_printable = text.isascii() and text.isprintable()
    return bool(text) and is_printable and " " not in text


def is_address(text: str) -> bool:
    """Returns whether a text names a host and a port, as host:port."""
    host, _, port = text.rpartition(":")
    is_number = port.isascii() and port.isdigit() and len(port) <= 5
    return _is_token(host) and is_number and 0 < int(port) <= MAX_PORT


def decode_registration(worker_id: str, value: bytes) -> Registration | str:
    """Decodes a registration row; returns a text if it is invalid."""
    try:
        message = msgspec.json.decode(value, type=_Registration)
    except UNREADABLE as error:
        return str(error)
    if not _is_token(worker_id):
        return f"id: {worker_id!r}"
    if message.state not in ("ready", "draining"):
        return f"state: {message.state}"
    if not is_address(message.address):
        return f"address: {message.address!r}"
    return Registration(
        worker_id=worker_id,
        service=message.service,
        address=message.address,
        zone=message.zone,
        is_draining=message.state == "draining",
        remaining_ms=message.remaining_ms or 0.0,
        cpu=message.capacity.cpu,
        memory_mb=message.capacity.mem_mb,
        gpu=message.capacity.gpu,
        labels=tuple(message.labels),
        # The first label is the worker's kind, the last one its rack.
        rack=message.labels[-1] if len(message.labels) > 1 else "",
        machine=message.machine,
        born=message.born,
    )


class MaintenanceWave(msgspec.Struct, rename="camel"):
    """A maintenance wave that the operator requests.

    Attributes:
      wave: number of the wave.
      machines: names of the machines to maintain.
      duration_s: seconds within which all machines are to be maintained.
      max_count: most machines that may be under maintenance at once.
    """

    wave: numbers.Count
    machines: list[str]
    duration_s: numbers.Amount = 0
    max_count: numbers.Count = 1


def decode_maintenance_wave(value: bytes) -> MaintenanceWave | str:
    """Decodes the row of a wave; returns a text if it is invalid."""
    try:
        return msgspec.json.decode(value, type=MaintenanceWave)
    except UNREADABLE as error:
        return str(error)


def encode_maintenance_wave_status(wave: int, completed: bool) -> bytes:
    """Encodes the status row of a maintenance wave."""
    state = "completed" if completed else "running"
    return msgspec.json.encode({"wave": wave, "state": state})


class _WaveStatus(msgspec.Struct):
    state: str = ""


def decode_maintenance_wave_status(value: bytes) -> bool:
    """Returns whether the status row of a wave says that it is completed."""
    try:
        status = msgspec.json.decode(value, type=_WaveStatus)
    except UNREADABLE:
        return False
    return status.state == "completed"


def encode_value(value: bytes) -> str:
    """Encodes the value of a row as base64 text for JSON."""
    return base64.b64encode(value).decode("ascii")


def decode_value(text: str) -> bytes:
    """Decodes the base64 text of a row's value.

    A text that isn't valid base64 is returned as it is: no reader of a row can
    decode it, and the other rows of the same response are not affected.
    """
    try:
        return base64.b64decode(text)
    except ValueError:
        return text.encode("utf-8", "replace")


STATE_NAMES = {
    submissions.COMPLETED: "completed",
    submissions.FAILED: "failed",
    submissions.CANCELLED: "cancelled",
}


def encode_state(state: str, has_started: bool) -> bytes:
    """Encodes the response body with a submission's state."""
    name = STATE_NAMES.get(state) or ("running" if has_started else "pending")
    return b'{"state":"%s"}' % name.encode()


def encode_waiting(count: int) -> bytes:
    """Encodes the response body with a queue's count of waiting submissions."""
    return b'{"waiting":%d}' % count
