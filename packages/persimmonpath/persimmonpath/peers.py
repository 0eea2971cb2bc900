"""Calls between entry VMs."""

import abc
from concurrent import futures
import dataclasses

from returns import result

from persimmonpath import configuration
from persimmonpath import errors
from persimmonpath import identifiers
from persimmonpath import outcomes
from persimmonpath import work

Reply = futures.Future


@dataclasses.dataclass(frozen=True, slots=True)
class ShardLoad:
    """Load of a shard as its owner reports it.

    Attributes:
        shard: The shard.
        epoch: Epoch in which the callee owns it.
        free_slots: Task slots of its workers that are free.
        in_flight: Requests that are being processed.
    """

    shard: identifiers.ShardId
    epoch: int
    free_slots: int
    in_flight: int


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """Answer of an entry VM to a probe.

    Attributes:
        vm: Its name.
        incarnation: Random id of its process.
        config_version: Version of the configuration that it applies.
        has_session: Whether its session is registered.
        shards: Load of each shard that it owns.
        is_connected: Whether its session is live, so that it can claim shards
            through the table.
    """

    vm: str
    incarnation: str
    config_version: int
    has_session: bool
    shards: list[ShardLoad]
    is_connected: bool = False


class Peers(abc.ABC):
    """Calls other entry VMs by address, `IP:port`.

    Every method returns immediately with a future of a `returns.result.Result`.
    Its failure is a `PeerError`, which tells whether the call may have been
    sent, or a `NotOwnerError` if the callee does not own the shard.
    """

    @abc.abstractmethod
    def run(
        self,
        address: str,
        request_id: identifiers.RequestId,
        request: work.Request,
    ) -> "Reply[result.Result[outcomes.Outcome, errors.PersimmonError]]":
        """Runs a request on the owner of its shard."""

    @abc.abstractmethod
    def ask(
        self,
        address: str,
        request_id: identifiers.RequestId,
        close: bool,
        digest: str = "",
    ) -> "Reply[result.Result[outcomes.Outcome, errors.PersimmonError]]":
        """Returns the outcome of a request from the owner of its shard.

        Args:
            address: Address of the owner.
            request_id: Id of the request.
            close: Whether to settle an id that the owner has not seen as not
                run, so that it never runs later.
            digest: Digest of the request. If the id was used for another
                request, the answer is an `IdReusedError`. Empty for no check.
        """

    @abc.abstractmethod
    def issue_ids(
        self, address: str, shard: identifiers.ShardId, count: int
    ) -> (
        "Reply[result.Result[list[identifiers.RequestId],"
        " errors.PersimmonError]]"
    ):
        """Requests new request ids from the owner of a shard."""

    @abc.abstractmethod
    def probe(
        self, address: str
    ) -> "Reply[result.Result[Probe, errors.PersimmonError]]":
        """Probes an entry VM for its state."""

    @abc.abstractmethod
    def fetch_config(
        self, address: str
    ) -> (
        "Reply[result.Result[configuration.Configuration,"
        " errors.PersimmonError]]"
    ):
        """Returns the configuration that an entry VM applies."""

    @abc.abstractmethod
    def offer_shard(
        self, address: str, shard: identifiers.ShardId
    ) -> "Reply[result.Result[int, errors.PersimmonError]]":
        """Offers a released shard to an entry VM of its zone.

        Returns:
            The epoch, when the callee owns the shard and has listed its
            workers, or a `NotOwnerError` if it did not claim the shard.
        """

    @abc.abstractmethod
    def notify_job(
        self, address: str, shard: identifiers.ShardId, job_id: str
    ) -> "Reply[result.Result[None, errors.PersimmonError]]":
        """Notifies the owner of a shard of a new or changed job."""
