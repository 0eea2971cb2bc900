"""Tenants: the groups of callers that share the capacity of a deployment."""

import dataclasses
import hashlib
import math

DEFAULT_WEIGHT = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class TenantLimit:
    """The most that a tenant may have running on all workers of all services.

    Attributes:
      cpu: thousandths of a core, None without a limit.
      memory_mb: memory in MB, None without a limit.
      gpu: number of accelerators, None without a limit.
    """

    cpu: int | None = None
    memory_mb: int | None = None
    gpu: int | None = None

    @property
    def is_unlimited(self) -> bool:
        """Whether it limits no resource."""
        return self.cpu is None and self.memory_mb is None and self.gpu is None

    def allows(self, cpu: int, memory_mb: int, gpu: int) -> bool:
        """Returns whether an amount of each resource is within the limit."""
        return (
            cpu <= _or_infinity(self.cpu)
            and memory_mb <= _or_infinity(self.memory_mb)
            and gpu <= _or_infinity(self.gpu)
        )


def _or_infinity(limit: int | None) -> float:
    return math.inf if limit is None else limit


UNLIMITED = TenantLimit()


@dataclasses.dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant of one version of the configuration.

    Attributes:
      name: the name of the tenant.
      weight: its share of the capacity while all of it is in use, relative to
        the weights of the others; also the submissions per second that it has
        agreed to send.
      limit: the most that it may have running.
    """

    name: str
    weight: float = DEFAULT_WEIGHT
    limit: TenantLimit = UNLIMITED


def compute_digest(key: str) -> bytes:
    """Returns the digest by which an API key is looked up and compared.

    The time of a look-up then depends on the digest only, which tells nothing
    about the keys that are in use.
    """
    return hashlib.sha256(key.encode("utf-8", "replace")).digest()
