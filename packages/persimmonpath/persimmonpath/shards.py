"""A shard in the hands of its owner."""

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
    """The parts that work on one shard for as long as this VM owns it."""

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
        """Makes the fleet match the inventory."""
        self.fleet.apply_workers(listed, create_client, retired)
        self.runner.update_unplaceable_reasons()

    def apply_rules(self, cell_rules: rules.Rules) -> None:
        """Puts the operator's rules in force."""
        self.fleet.apply_rules(cell_rules)
        self.runner.apply_policy(cell_rules.policy)


def create_owned_shard(
    shard: identifiers.ShardId,
    epoch: int,
    owner: str,
    timer_service: timers.TimerService,
    store: jobs.JobStore,
    policy: rules.Policy,
    takeover: fleet.Takeover = fleet.NOTHING_BEFORE,
) -> OwnedShard:
    """Returns a shard without workers.

    Args:
        shard: The shard.
        epoch: Epoch in which this process owns it.
        owner: Name of this process in the workers' owner registers.
        timer_service: Source of time.
        store: Job rows.
        policy: Settings of the policies.
        takeover: What is known of the time before the epoch.
    """
    shard_fleet = fleet.Fleet(epoch, owner, timer_service, takeover)
    return OwnedShard(
        shard,
        shard_fleet,
        dispatch.Dispatcher(shard, shard_fleet, policy),
        runner.JobRunner(shard, shard_fleet, store, policy),
    )
