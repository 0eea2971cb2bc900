"""Puts together a shard and the parts of its owner that act on it."""

import asyncio
import dataclasses

from persimmonpath_entry.engine import advicebalancer
from persimmonpath_entry.engine import backlog
from persimmonpath_entry.engine import context
from persimmonpath_entry.engine import freshness
from persimmonpath_entry.engine import learnedrows
from persimmonpath_entry.engine import listings
from persimmonpath_entry.engine import ownerrows
from persimmonpath_entry.engine import persistence
from persimmonpath_entry.engine import quotaledger
from persimmonpath_entry.engine import shard as shards
from persimmonpath_entry.engine import shardmaintenance
from persimmonpath_entry.engine import supervision
from persimmonpath_entry.engine import taskscheduler
from persimmonpath_entry.engine import workercommands

# Pause before the rows of a shard are read again after a failure, in seconds.
LOAD_RETRY_S = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class ShardParts:
    """A shard and the parts that act on it.

    Attributes:
      shard: the shard.
      writer: writes its rows.
      maintenance: loads it and follows the store.
      scheduler: places its tasks.
      ledger: holds the shares of the tenants' limits.
    """

    shard: shards.Shard
    writer: persistence.ShardWriter
    maintenance: shardmaintenance.ShardMaintenance
    scheduler: taskscheduler.TaskScheduler
    ledger: quotaledger.QuotaLedger

    def start(self, node: context.Context):
        """Starts all parts; tasks are placed once the shard is loaded.

        Args:
          node: the context of the process.
        """
        self.shard.spawn(
            supervision.keep_running(node, "shard_writer", self.writer.run)
        )
        self.shard.spawn(
            supervision.keep_running(node, "quota_ledger", self.ledger.run)
        )
        self.shard.spawn(self._serve(node))

    async def _serve(self, node: context.Context):
        """Loads the rows of the shard, retrying, and starts the other parts."""
        shard = self.shard
        while not await self.maintenance.load():
            await asyncio.sleep(LOAD_RETRY_S)
        shard.is_loaded = True
        node.log.warn(
            "shard_loaded",
            service=shard.service,
            submissions=len(shard.submissions),
        )
        meter = backlog.BacklogMeter(shard, self.scheduler.ranking)
        for name, run in (
            ("follow_workers", self.maintenance.follow_workers),
            ("follow_submissions", self.maintenance.follow_submissions),
            ("shard_maintenance", self.maintenance.run),
            ("scheduler", self.scheduler.run),
            ("backlog", meter.run),
            ("learned_row", learnedrows.LearnedRowKeeper(shard).run),
        ):
            shard.spawn(supervision.keep_running(node, name, run))


def assemble(
    node: context.Context,
    shard: shards.Shard,
    former: ownerrows.OwnerRecord,
    workers: ownerrows.WorkersRecord,
    advisor: advicebalancer.AdviceBalancer,
) -> ShardParts:
    """Creates the parts of a shard that this VM has taken over.

    Args:
      node: the context of the process.
      shard: the new shard.
      former: the record of the previous owner.
      workers: the record of its workers.
      advisor: calls the placement advisor.
    """
    shard.former_horizon = former.horizon
    shard.newest_version = shard.stored_horizon = former.horizon or 0
    shard.frozen_leases = set(workers.lease_ends)
    shard.former_runs.unsettled_tasks = {
        worker_id: set(names)
        for worker_id, names in workers.unresponsive.items()
    }
    poller = listings.ListingPoller(shard)
    commands = workercommands.WorkerCommands(shard, poller.schedule_listing)
    poller.effects.commands = commands
    writer = persistence.ShardWriter(shard, shard.fence, poller.announce_stored)
    shard.stop_run = commands.stop
    shard.on_worker_added = poller.start_polling
    shard.on_worker_restarted = poller.schedule_listing
    shard.refresh_submission = freshness.SubmissionRefresher(
        shard, poller, writer
    ).refresh
    return ShardParts(
        shard,
        writer,
        shardmaintenance.ShardMaintenance(shard, commands),
        taskscheduler.TaskScheduler(shard, commands, poller, advisor),
        quotaledger.QuotaLedger(shard),
    )
