"""A shard that runs jobs on manual timers, for tests and benchmarks."""

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
    """A shard with its table, its workers and a replaceable owner.

    Attributes:
        timers: Manual timers of all parts.
        backing_table: The table without faults.
        table: The table with faults.
        rules: Rules in force.
        plans: `Plan`, or function of the start that returns one, by kind of
            work; attempts of other kinds succeed after 1 s.
        workers: `MemoryWorker` by name.
        clients: `FaultyWorker` by worker name.
        listed: Inventory entries of the workers.
        epoch: Epoch of the present owner.
        owner_timers: Subscriptions that end with the present owner.
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
        """Adds a worker; the owner learns of it when it applies `listed`."""
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
        """Replaces the owner as after the loss of its process."""
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
        """Submits a job, by default a batch job.

        Args:
            job_id: Id of the job.
            tasks: Number of tasks.
            create: Class of the job.
            **fields: Further fields of the job.

        Returns:
            Future of the reply of the job store.
        """
        fields = {"kind": "k", "team": "t", "size": SIZE} | fields
        job = create(id=job_id, tasks=tasks, **fields)
        record = jobs.create_record(job, f"nonce-{job_id}", SHARD)
        reply = self.store.submit(record, quotas.create_charge(job, self.rules))
        reply.add_done_callback(lambda _: self.runner.notify())
        return reply

    def cancel(self, job_id, is_bulk=False):
        """Cancels a job; returns the future of the reply."""
        reply = self.store.cancel(job_id, is_bulk)
        reply.add_done_callback(lambda _: self.runner.notify())
        return reply

    def read(self, job_id):
        """Returns the stored record of a job."""
        return jobs.JobStore(self.backing_table, None).read(job_id).unwrap()[0]

    def advance(self, seconds, step_s=0.05):
        """Advances the timers in steps of `step_s` seconds."""
        for _ in range(round(seconds / step_s)):
            self.timers.advance(step_s)

    def list_running(self):
        """Returns the attempts that run now, on all workers."""
        return [a for w in self.workers.values() for a in w.list_running()]

    def count_runs(self, prefix=""):
        """Returns the number of starts of tasks whose id has a prefix."""
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
