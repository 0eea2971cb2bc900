"""The desired configuration: queues and services, by version."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class AdvicePolicy:
    """How long the placement advisor takes for a queue.

    Attributes:
      decide_ms: milliseconds of a call.
      each_ms: further milliseconds for each worker named.
      valid_ms: milliseconds for which a ticket is valid.
    """

    decide_ms: float
    each_ms: float
    valid_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Queue:
    """A queue of submissions.

    Attributes:
      name: its name.
      host: the Host header of its requests.
      prefix: the path prefix of its requests.
      service: the service whose workers run its tasks.
      priority: 0 is the most urgent.
      max_attempts: failures of a task after which its submission has failed.
      stretch: factor on the chain of work in the latency objective.
      target_latency_ms: milliseconds added to it.
      timeout_ms: milliseconds for which a caller waits at most.
      advice: the advisor's policy, or None if every worker may run its steps.
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


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A pool of workers.

    Attributes:
      name: its name.
      standby: whether its machines are off.
    """

    name: str
    standby: bool


class Configuration:
    """One version of the desired configuration."""

    def __init__(
        self,
        version: int,
        queues: list[Queue],
        services: list[Service],
        max_body_bytes: int,
    ):
        self.version = version
        self.queues = {queue.name: queue for queue in queues}
        self.services = {service.name: service for service in services}
        self.max_body_bytes = max_body_bytes
        self._by_host: dict[str, list[Queue]] = {}
        for queue in queues:
            self._by_host.setdefault(queue.host, []).append(queue)
        for rows in self._by_host.values():
            rows.sort(key=lambda queue: -len(queue.prefix))

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Returns the queue with the longest prefix of a path, or None."""
        for queue in self._by_host.get(host.split(":")[0], ()):
            if path.startswith(queue.prefix):
                return queue
        return None
