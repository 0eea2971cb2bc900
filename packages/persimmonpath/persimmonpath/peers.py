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
    """Load of a shard as its owner sees it."""

    shard: identifiers.ShardId
    epoch: int
    free_slots: int
    in_flight: int


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """State of an entry VM.

    Attributes:
        vm: Its name.
        incarnation: Id of its process.
        config_version: Configuration that it applies.
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

    Every call returns at once with a future of a `returns.result.Result`. The
    failure side is a `PeerError`, which tells whether the call may have been
    sent, or a `NotOwnerError` of a callee that does not own the shard.
    """

    @abc.abstractmethod
    def run(
        self,
        address: str,
        request_id: identifiers.RequestId,
        request: work.Request,
    ) -> "Reply[result.Result[outcomes.Outcome, errors.PersimmonError]]":
        """Runs a request at the owner of its shard."""

    @abc.abstractmethod
    def ask(
        self,
        address: str,
        request_id: identifiers.RequestId,
        close: bool,
        digest: str = "",
    ) -> "Reply[result.Result[outcomes.Outcome, errors.PersimmonError]]":
        """Asks the owner of a shard what became of a request.

        With `close` an id not seen yet is made final as not run. With a digest
        the answer is `IdReusedError` if the id stands for another request.
        """

    @abc.abstractmethod
    def issue_ids(
        self, address: str, shard: identifiers.ShardId, count: int
    ) -> (
        "Reply[result.Result[list[identifiers.RequestId],"
        " errors.PersimmonError]]"
    ):
        """Has the owner of a shard issue request ids."""

    @abc.abstractmethod
    def probe(
        self, address: str
    ) -> "Reply[result.Result[Probe, errors.PersimmonError]]":
        """Returns the state of an entry VM."""

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
        """Offers a shard that was released to an entry VM of its zone.

        Returns:
            The epoch, once the callee owns the shard and has listed its
            workers, or `NotOwnerError` when it does not.
        """

    @abc.abstractmethod
    def notify_job(
        self, address: str, shard: identifiers.ShardId, job_id: str
    ) -> "Reply[result.Result[None, errors.PersimmonError]]":
        """Tells the owner of a shard of a new or changed job."""
