"""Benchmarks of the dispatcher in virtual time against a FIFO queue.

Both serve the same seeded arrivals on the same workers. The baseline queue is
unbounded, trusts declared run times, and starts requests whose callers have
already timed out.
"""

import collections
from concurrent import futures
import dataclasses
import random
import time

from absl import logging
from returns import result

from bench import report
from persimmonpath import attempts
from persimmonpath import dispatch
from persimmonpath import fleet
from persimmonpath import identifiers
from persimmonpath import inventory
from persimmonpath import memoryworkers
from persimmonpath import outcomes
from persimmonpath import resources
from persimmonpath import rules
from persimmonpath import timers
from persimmonpath import work

SEED = 20251204
WORKERS = 4
SLOTS = 8
WARM_UP_S = 5.0
DURATION_S = 20.0
LOAD_END_S = WARM_UP_S + DURATION_S
SHARD = identifiers.ShardId("zone-a", 0)
SIZE = resources.Resources(500, 512, 0)
CAPACITY = resources.Resources(16_000, 32_768, 0)
TEAMS = ("team-a", "team-b", "team-c", "team-d")


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of request.

    Attributes:
        name: Name of the kind.
        share: Share of the arrivals.
        run_s: Mean run time in seconds.
        declared_s: Run time that the caller declares, in seconds.
        timeout_s: How long the caller waits, in seconds.
    """

    name: str
    share: float
    run_s: float
    declared_s: float
    timeout_s: float


# Stragglers declare far less than they take.
MIX = (
    Kind("lookup", 0.85, 0.05, 0.05, 1.0),
    Kind("render", 0.10, 0.4, 0.4, 3.0),
    Kind("report", 0.03, 2.0, 2.0, 10.0),
    Kind("straggler", 0.02, 2.0, 0.05, 10.0),
)
# At STRAGGLER_RATE, stragglers alone need more slots than there are.
STRAGGLER_MIX = (
    Kind("lookup", 0.6, 0.05, 0.05, 1.0),
    Kind("straggler", 0.4, 4.0, 0.05, 20.0),
)
STRAGGLER_RATE = 30.0


class FifoDispatcher:
    """Baseline that starts requests in the order of arrival."""

    def __init__(self, shard, shard_fleet):
        self._fleet = shard_fleet
        self._queue = collections.deque()
        self._shard = shard
        self._next = 1
        shard_fleet.subscribe(lambda *_: None, self._start_queued)

    def issue_ids(self, count):
        first, self._next = self._next, self._next + count
        return [
            identifiers.RequestId(self._shard, 1, n)
            for n in range(first, self._next)
        ]

    def submit(self, request_id, request):
        future = futures.Future()
        if request.run_s > request.timeout_s:
            outcome = outcomes.NotRun("declared_too_long")
            future.set_result(result.Success(outcome))
            return future
        self._queue.append((request_id, request, future))
        self._start_queued()
        return future

    def _start_queued(self):
        while self._queue:
            request_id, request, future = self._queue[0]
            attempt = f"{request_id}#1"
            name = self._fleet.reserve(attempt, request.size)
            if name is None:
                return
            self._queue.popleft()
            start = attempts.create_start(attempt, 1, "", request)
            reply = self._fleet.get_client(name).start(start, True, 1e9)
            reply.add_done_callback(
                lambda f, n=name, a=attempt, u=future: self._handle_reply(
                    n, a, u, f
                )
            )

    def _handle_reply(self, name, attempt, future, done):
        self._fleet.release(name, attempt)
        outcome = attempts.create_outcome(done.result().unwrap(), name)
        future.set_result(result.Success(outcome))
        self._start_queued()


class Simulation:
    """A dispatcher with its workers on manual timers, under a seeded load.

    Attributes:
        waits: Seconds before the start of each request, by kind, without those
            that arrive during the warm-up.
        latencies: Seconds until the answer of each request that was done in
            time, by kind.
        done: Requests that were done in time, within the measured window.
        useful_s: Slot seconds of the requests in `done`.
        sent: Number of requests after the warm-up, by kind.
    """

    def __init__(self, is_baseline, workers=WORKERS, policy=None):
        self.timers = timers.create_manual_timers()
        self.fleet = fleet.Fleet(1, "owner", self.timers)
        if is_baseline:
            self.dispatcher = FifoDispatcher(SHARD, self.fleet)
        else:
            self.dispatcher = dispatch.Dispatcher(
                SHARD, self.fleet, policy or rules.Policy()
            )
        self.waits = collections.defaultdict(list)
        self.latencies = collections.defaultdict(list)
        self.useful_s = 0.0
        self.done = 0
        self.sent = collections.Counter()
        self._arrived = {}
        self._run_s = {}
        listed = [self._describe_worker(index) for index in range(workers)]
        self.fleet.apply_workers(listed, self._create_worker)
        self.timers.subscribe(1.0, self.fleet.renew)

    def load(self, mix, rate, seed=SEED):
        """Sends requests that arrive at random, and runs until all have ended.

        Args:
            mix: Kinds of requests.
            rate: Arrivals per second.
            seed: Seed of arrivals, kinds and run times.
        """
        generator = random.Random(seed)
        now = 0.0
        while now < LOAD_END_S:
            kind = generator.choices(mix, [k.share for k in mix])[0]
            run_s = kind.run_s * generator.uniform(0.7, 1.3)
            team = generator.choice(TEAMS)
            self.timers.call_later(
                now, lambda k=kind, r=run_s, t=team: self._send(k, r, t)
            )
            now += generator.expovariate(rate)
        self.timers.advance(LOAD_END_S + max(k.timeout_s for k in mix))

    def _send(self, kind, run_s, team):
        arrived = self.timers.now()
        request = work.Request(
            kind.name, team, False, SIZE, b"", kind.timeout_s, kind.declared_s
        )
        request_id = self.dispatcher.issue_ids(1)[0]
        self._arrived[str(request_id)] = arrived, kind
        self._run_s[str(request_id)] = run_s
        is_measured = arrived >= WARM_UP_S
        self.sent[kind.name] += is_measured
        future = self.dispatcher.submit(request_id, request)

        def record_outcome(done):
            latency_s = self.timers.now() - arrived
            outcome = done.result().unwrap()
            is_done = isinstance(outcome, outcomes.Done)
            if not is_done or latency_s > kind.timeout_s:
                return
            if is_measured:
                self.latencies[kind.name].append(latency_s)
            if WARM_UP_S <= self.timers.now() < LOAD_END_S:
                self.done += 1
                self.useful_s += run_s

        future.add_done_callback(record_outcome)

    def _create_plan(self, start):
        request_id = start.attempt.rpartition("#")[0]
        arrived, kind = self._arrived[request_id]
        if arrived >= WARM_UP_S:
            self.waits[kind.name].append(self.timers.now() - arrived)
        return memoryworkers.Plan(self._run_s[request_id], True, b"ok")

    def _create_worker(self, worker):
        return memoryworkers.MemoryWorker(
            worker.name, CAPACITY, SLOTS, self.timers, self._create_plan
        )

    def _describe_worker(self, index):
        return inventory.Worker(
            name=f"worker-{index}",
            zone="zone-a",
            rack="rack",
            host="127.0.0.1",
            port=1,
            cpu_millis=CAPACITY.cpu_millis,
            memory_mib=CAPACITY.memory_mib,
            slots=SLOTS,
        )


def get_quantile(values, quantile):
    """Returns a quantile of values, or 0.0 if there are none."""
    ranked = sorted(values)
    if not ranked:
        return 0.0
    return ranked[min(len(ranked) - 1, int(quantile * len(ranked)))]


def compute_capacity(mix):
    """Returns the requests per second of a mix that keep every slot busy."""
    mean_s = sum(k.share * k.run_s for k in mix)
    return WORKERS * SLOTS / mean_s


def measure_load(factor):
    """Prints the figures of a load.

    Args:
        factor: Load as a multiple of the capacity.
    """
    rate = factor * compute_capacity(MIX)
    runs = [Simulation(is_baseline) for is_baseline in (False, True)]
    for run in runs:
        run.load(MIX, rate)
    name = f"requests_{factor}x"

    def print_values(figure, unit, read):
        values = [read(run) for run in runs]
        report.print_figure(f"{name}_{figure}", values[0], unit, values[1])

    def count_done(run):
        return run.done / DURATION_S

    def list_waits(run):
        return [wait for waits in run.waits.values() for wait in waits]

    print_values("goodput", "requests/s", count_done)
    print_values(
        "useful_slots",
        "share",
        lambda run: run.useful_s / DURATION_S / WORKERS / SLOTS,
    )
    for kind in MIX:
        print_values(
            f"done_{kind.name}",
            "share",
            lambda run, k=kind.name: (
                len(run.latencies[k]) / max(1, run.sent[k])
            ),
        )
    print_values(
        "wait_p50", "s", lambda run: get_quantile(list_waits(run), 0.5)
    )
    print_values(
        "wait_p99", "s", lambda run: get_quantile(list_waits(run), 0.99)
    )


def measure_stragglers():
    """Prints waits and success of short requests among stragglers."""
    runs = [Simulation(is_baseline) for is_baseline in (False, True)]
    for run in runs:
        run.load(STRAGGLER_MIX, STRAGGLER_RATE)
    waits = [get_quantile(run.waits["lookup"], 0.99) for run in runs]
    report.print_figure(
        "requests_short_behind_stragglers_wait_p99", waits[0], "s", waits[1]
    )
    shares = [len(run.latencies["lookup"]) / run.sent["lookup"] for run in runs]
    report.print_figure(
        "requests_short_behind_stragglers_done", shares[0], "share", shares[1]
    )


def measure_decision(is_baseline, workers, queued, count=1000):
    """Returns p50 and p99 of the time of one `submit` in microseconds."""
    run = Simulation(is_baseline, workers)
    # Occupy all slots and let `queued` requests wait.
    kind = Kind("report", 1.0, 500.0, 0.001, 600.0)
    for _ in range(workers * SLOTS + queued):
        run._send(kind, 500.0, TEAMS[0])
    request = work.Request("lookup", TEAMS[1], False, SIZE, b"", 5.0, 0.001)
    samples = []
    for request_id in run.dispatcher.issue_ids(count):
        begin = time.perf_counter()
        run.dispatcher.submit(request_id, request)
        samples.append((time.perf_counter() - begin) * 1e6)
    return get_quantile(samples, 0.5), get_quantile(samples, 0.99)


def measure_decisions():
    """Prints the wall-clock time of a `submit` while requests wait."""
    for workers in (27, 220):
        measured = measure_decision(False, workers, 500)
        fifo = measure_decision(True, workers, 500)
        for label, value, baseline in zip(
            ("p50", "p99"), measured, fifo, strict=True
        ):
            report.print_figure(
                f"requests_submit_{workers}_workers_{label}",
                value,
                "us",
                baseline,
            )


def measure():
    """Prints every figure."""
    logging.set_verbosity(logging.ERROR)
    for factor in (1, 2, 5):
        measure_load(factor)
    measure_stragglers()
    measure_decisions()


if __name__ == "__main__":
    measure()
