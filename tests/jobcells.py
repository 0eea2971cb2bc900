"""A shard with jobs on manual timers, for tests and measurements."""

from persimmonpath import fleet
from persimmonpath import groupcommit
from persimmonpath import identifiers
from persimmonpath import inventory
from persimmonpath import jobs
from persimmonpath import memoryworkers
from persimmonpath import quotas
from persimmonpath import resources
from persimmonpath import rules
from persimmonpath import runner
from persimmonpath import tables
from persimmonpath import timers
from persimmonpath import work
from tests import fakes

SHARD = identifiers.ShardId("z1", 0)
SIZE = resources.Resources(1000, 1024, 0)


class JobCell:
    """One shard: a table, workers, and owners that can be replaced.

    Attributes:
        clients: `FaultyWorker` by worker name.
        workers: `MemoryWorker` by name.
        plans: What attempts of a kind do; others end well after 1 s.
    """

    def __init__(self, workers=2, slots=8, policy=None, cell_rules=None):
        self.timers = timers.create_manual_timers()
        self.backing_table = tables.create_memory_table()
        self.table = fakes.FaultyTable(self.backing_table)
        self.rules = cell_rules or rules.Rules(
            policy=policy or rules.Policy(short_slots_share=0.0)
        )
        self.plans = {}
        self.workers = {}
        self.clients = {}
        self.listed = []
        for number in range(workers):
            self.add_worker(f"w{number}", slots)
        self.epoch = 0
        self.owner_timers = []
        self.take_over()

    def add_worker(self, name, slots=8, cpu_millis=16_000):
        entry = inventory.Worker(
            name=name,
            zone="z1",
            rack=f"r{len(self.listed) // 2}",
            host="127.0.0.1",
            port=1,
            cpu_millis=cpu_millis,
            memory_mib=32_768,
            slots=slots,
        )
        worker = memoryworkers.MemoryWorker(
            name, entry.capacity, slots, self.timers, self._plan
        )
        self.listed.append(entry)
        self.workers[name] = worker
        self.clients[name] = fakes.FaultyWorker(worker, self.timers)

    def take_over(self):
        """Replaces the owner as if its process had died."""
        for subscription in self.owner_timers:
            subscription.cancel()
        self.epoch += 2
        name = f"vm{self.epoch}"
        self.committer = groupcommit.GroupCommitter(
            f"z1/{name}", self.table, self.timers
        )
        self.store = jobs.JobStore(self.table, self.committer)
        self.fleet = fleet.Fleet(self.epoch, name, self.timers)
        self.runner = runner.JobRunner(
            SHARD, self.fleet, self.store, self.rules.policy
        )
        self.fleet.apply_rules(self.rules)
        self.fleet.apply_workers(
            self.listed, lambda worker: self.clients[worker.name]
        )
        self.owner_timers = [
            self.timers.subscribe(period_s, action)
            for period_s, action in (
                (0.05, self.runner.poll_if_notified),
                (0.05, self.store.flush),
                (0.5, self.runner.poll),
                (1.0, self.fleet.renew),
            )
        ]
        self.runner.poll()

    def submit(self, job_id, tasks=1, create=work.BatchJob, **fields):
        """Submits a job; returns the future of the reply."""
        fields = {"kind": "k", "team": "t", "size": SIZE} | fields
        job = create(id=job_id, tasks=tasks, **fields)
        record = jobs.create_record(job, f"nonce-{job_id}", SHARD)
        reply = self.store.submit(record, quotas.create_charge(job, self.rules))
        reply.add_done_callback(lambda _: self.runner.notify())
        return reply

    def cancel(self, job_id, is_bulk=False):
        reply = self.store.cancel(job_id, is_bulk)
        reply.add_done_callback(lambda _: self.runner.notify())
        return reply

    def read(self, job_id):
        return jobs.JobStore(self.backing_table, None).read(job_id).unwrap()[0]

    def advance(self, seconds, step_s=0.05):
        for _ in range(round(seconds / step_s)):
            self.timers.advance(step_s)

    def list_running(self):
        """Returns the attempts that run now, on all workers."""
        return [a for w in self.workers.values() for a in w.list_running()]

    def count_runs(self, prefix=""):
        """Returns the starts of tasks whose id begins with a prefix."""
        return sum(
            count
            for worker in self.workers.values()
            for task, count in worker.runs.items()
            if task.startswith(prefix)
        )

    def _plan(self, start):
        plan = self.plans.get(start.kind)
        if callable(plan):
            return plan(start)
        return plan or memoryworkers.Plan(1.0, True)
