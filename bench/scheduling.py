"""Benchmark of the scheduling passes of an entry VM that owns one service.

Measures the decisions alone: starts aren't sent. Each case has a number of
workers, most of which are full, and waiting steps that find no room; tasks that
end are replaced by new ones, as in an overloaded service.
"""

import random
import time

from hdrh import histogram

from bench import report
from persimmonpath_entry.engine import taskscheduler
from persimmonpath_entry.state import execution
from persimmonpath_entry.state import submissions
from persimmonpath_entry.transport import clock
from tests.entry import fakes

SEED = 20
WORKER_COUNTS = (200, 900, 2000)
WAITING_COUNTS = (100, 5000)
PASSES = 60
# Runs that end before each pass.
ENDS_PER_PASS = 50
# Latencies in the histogram, in microseconds.
MAX_PASS_US = 60_000_000


class DroppedCommands:
    """Takes start commands for sent and answered."""

    def start(self, run, ticket):
        run.phase = execution.Phase.RUNNING


class DroppedPolls:
    def resume_polling(self, worker):
        pass


class NoAdvisor:
    def reserve_caller(self, policy, count, purpose):
        return None


def draw_spec(generator, count):
    return submissions.StepSpec(
        count=count,
        cpu=generator.choice([1000, 1700, 2500, 4500]),
        memory_mb=generator.choice([512, 1800, 3600]),
        estimated_ms=generator.choice([640.0, 2700.0, 5000.0]),
        checkpointing=generator.random() < 0.5,
    )


class Service:
    """A service at the begin of a measurement."""

    def __init__(self, workers, waiting):
        self.generator = random.Random(SEED)
        self.shard = fakes.make_shard()
        self.shard.node.log.write = lambda event, **fields: None
        self.shard.extend_horizon(1)
        for number in range(workers):
            fakes.add_worker(self.shard, f"w{number}")
        self.scheduler = taskscheduler.TaskScheduler(
            self.shard, DroppedCommands(), DroppedPolls(), NoAdvisor()
        )
        self.count = 0
        while len(self.shard.ready_steps) < waiting:
            self.add_submission()
            if self.count % 50 == 0:
                self.run_passes()
        self.run_passes()

    def run_passes(self):
        """Places what fits, without measuring it."""
        for _ in range(3):
            self.scheduler._run_pass(clock.read_clock())

    def add_submission(self):
        self.count += 1
        record = fakes.make_record(draw_spec(self.generator, 10))
        self.shard.apply_submission(f"{self.count:016x}", record, version=1)

    def end_runs(self, count):
        """Ends runs on random workers and adds as much new work."""
        runs = []
        workers = list(self.shard.workers.values())
        while len(runs) < count:
            worker = self.generator.choice(workers)
            if worker.runs:
                run = self.generator.choice(list(worker.runs.values()))
                self.shard.remove_run(run, "done", "")
                runs.append(run)
        for _ in range(count // 10):
            self.add_submission()


def measure():
    """Prints starts a second of one core, and how long a pass takes."""
    for workers in WORKER_COUNTS:
        for waiting in WAITING_COUNTS:
            measure_case(workers, waiting)


def measure_case(workers, waiting):
    service = Service(workers, waiting)
    passes = histogram.HdrHistogram(1, MAX_PASS_US, 3)
    started = 0
    busy_s = 0.0
    for _ in range(PASSES):
        service.end_runs(ENDS_PER_PASS)
        before = time.perf_counter()
        service.scheduler._run_pass(clock.read_clock())
        elapsed_s = time.perf_counter() - before
        busy_s += elapsed_s
        passes.record_value(max(1, round(elapsed_s * 1e6)))
        started += service.scheduler._started
    name = f"scheduling_{workers}_workers_{waiting}_waiting"
    report.print_figure(f"{name}_starts", started / busy_s, "starts/s")
    for percentile in (50, 99):
        report.print_figure(
            f"{name}_pass_p{percentile}",
            passes.get_value_at_percentile(percentile) / 1000,
            "ms",
        )
