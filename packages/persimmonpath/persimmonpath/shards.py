"""The components that serve one shard while this VM owns it."""

from collections.abc import Callable
import dataclasses

from persimmonpath import dispatch
from persimmonpath import fleet
from persimmonpath import identifiers
from persimmonpath import inventory
from persimmonpath import jobs
from persimmonpath import rules
from persimmonpath import runner
from persimmonpath import timers
from persimmonpath import workers

ClientFactory = Callable[[inventory.Worker], workers.WorkerClient]


@dataclasses.dataclass(frozen=True, slots=True)
class OwnedShard:
    """The components that serve one shard while this VM owns it.

    Attributes:
        id: The shard.
        fleet: Workers of the shard.
        dispatcher: Runs its requests.
        runner: Runs its jobs.
    """

    id: identifiers.ShardId
    fleet: fleet.Fleet
    dispatcher: dispatch.Dispatcher
    runner: runner.JobRunner

    def apply_workers(
        self,
        listed: list[inventory.Worker],
        create_client: ClientFactory,
        retired: list[inventory.Worker] | None = None,
    ) -> None:
        """Updates the fleet to match the inventory.

        Args:
            listed: Workers of the shard in the inventory.
            create_client: Creates the client of a worker.
            retired: Workers that left the inventory and may still run
                attempts.
        """
        self.fleet.apply_workers(listed, create_client, retired)
        self.runner.update_unplaceable_reasons()

    def apply_rules(self, cell_rules: rules.Rules) -> None:
        """Applies the operator's rules to later placements and policies."""
        self.fleet.apply_rules(cell_rules)
        self.runner.apply_policy(cell_rules.policy)


def create_owned_shard(
    shard: identifiers.ShardId,
    epoch: int,
    owner: str,
    timer_service: timers.TimerService,
    store: jobs.JobStore,
    policy: rules.Policy,
    takeover: fleet.Takeover = fleet.NO_EARLIER_EPOCH,
) -> OwnedShard:
    """Creates an owned shard without workers.

    Args:
        shard: The shard.
        epoch: Epoch in which this process owns it.
        owner: Name of this process in the workers' owner registers.
        timer_service: Clock and timers.
        store: Storage of the job rows.
        policy: Operator's policy settings.
        takeover: State inherited from earlier epochs.
    """
    shard_fleet = fleet.Fleet(epoch, owner, timer_service, takeover)
    return OwnedShard(
        shard,
        shard_fleet,
        dispatch.Dispatcher(shard, shard_fleet, policy),
        runner.JobRunner(shard, shard_fleet, store, policy),
    )
