"""A version of the desired configuration with its queues and services."""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses

from persimmonpath_entry.state import submissions
from persimmonpath_entry.state import tenants as tenant_types

DEFAULT_TIMEOUT_MS = 3000.0
# For submissions whose rows hold no policy, with the lowest priority.
UNKNOWN_POLICY = submissions.QueuePolicy(9, 3, 4.0, 3000.0)


@dataclasses.dataclass(frozen=True, slots=True)
class AdvicePolicy:
    """Call durations and ticket validity of the placement advisor for a queue.

    Attributes:
      decide_ms: fixed duration of a call in milliseconds.
      each_ms: further milliseconds for each worker named in the call.
      valid_ms: milliseconds for which a ticket is valid.
    """

    decide_ms: float
    each_ms: float
    valid_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Queue:
    """A queue of submissions.

    Attributes:
      name: the name of the queue.
      host: the Host header of its requests.
      prefix: the path prefix of its requests.
      service: the service whose workers run its tasks.
      priority: the priority; 0 is the most urgent.
      max_attempts: number of failed runs of a task at which its submission
        fails.
      stretch: factor on the critical path in the latency objective.
      target_latency_ms: milliseconds added to that product.
      timeout_ms: most milliseconds for which a caller waits.
      advice: the advisor's policy, or None if every worker may run its steps.
      allows_anonymous: whether calls without a key are allowed.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int
    max_attempts: int
    stretch: float
    target_latency_ms: float
    timeout_ms: float
    advice: AdvicePolicy | None
    allows_anonymous: bool = True

    def describe_policy(self) -> submissions.QueuePolicy:
        """Returns the settings that are stored with its submissions."""
        advice = None
        if self.advice is not None:
            advice = dataclasses.astuple(self.advice)
        return submissions.QueuePolicy(
            self.priority,
            self.max_attempts,
            self.stretch,
            self.target_latency_ms,
            advice,
        )


def make_removed_queue(record: submissions.SubmissionRecord) -> Queue:
    """Returns the queue of a submission as it was at its acceptance.

    Args:
      record: the submission. Without a stored policy the queue gets defaults of
        the lowest priority.
    """
    policy = record.policy or UNKNOWN_POLICY
    advice = None
    if policy.advice is not None:
        advice = AdvicePolicy(*policy.advice)
    return Queue(
        record.queue,
        "",
        "",
        record.service,
        policy.priority,
        policy.max_attempts,
        policy.stretch,
        policy.target_latency_ms,
        DEFAULT_TIMEOUT_MS,
        advice,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A pool of workers.

    Attributes:
      name: the name of the service.
      standby: whether its machines are powered off.
    """

    name: str
    standby: bool


class Configuration:
    """One version of the desired configuration.

    Attributes:
      version: the number of the version.
      queues: the queues by name.
      services: the services by name.
      max_body_bytes: largest request body in bytes.
      tenants: the tenants by name, empty in a deployment without tenants.
      problems: fields that are faulty and were replaced by defined values.
    """

    def __init__(
        self,
        version: int,
        queues: list[Queue],
        services: list[Service],
        max_body_bytes: int,
        tenants: Mapping[str, tenant_types.Tenant] | None = None,
        names_by_key: Mapping[bytes, str] | None = None,
        problems: Sequence[str] = (),
    ):
        """Creates a version of the configuration.

        Args:
          version: the number of the version.
          queues: its queues.
          services: its services.
          max_body_bytes: largest request body in bytes.
          tenants: its tenants by name.
          names_by_key: names of tenants by the digests of their API keys.
          problems: what was faulty in the encoded configuration.
        """
        self.version = version
        self.queues = {queue.name: queue for queue in queues}
        self.services = {service.name: service for service in services}
        self.max_body_bytes = max_body_bytes
        self.tenants = dict(tenants or {})
        self._names_by_key = dict(names_by_key or {})
        self.problems = list(problems)
        self._by_host: dict[str, list[Queue]] = {}
        for queue in queues:
            self._by_host.setdefault(queue.host, []).append(queue)
        for rows in self._by_host.values():
            rows.sort(key=lambda queue: -len(queue.prefix))

    def find_tenant(self, key: str) -> tenant_types.Tenant | None:
        """Returns the tenant that an API key belongs to, or None."""
        name = self._names_by_key.get(tenant_types.compute_digest(key))
        return None if name is None else self.tenants[name]

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Returns the queue that a request is for, or None.

        The longest matching path prefix wins; a port in `host` is ignored.
        """
        for queue in self._by_host.get(host.split(":")[0], ()):
            if path.startswith(queue.prefix):
                return queue
        return None
