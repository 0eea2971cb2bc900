"""Benchmarks of control traffic, configuration and takeover in virtual time."""

import random
from unittest import mock

from absl import logging

from bench import report
from persimmonpath import acceptance
from persimmonpath import httpplatform
from persimmonpath import httpworkers
from persimmonpath import leases
from persimmonpath import machines
from persimmonpath import sessions
from persimmonpath import tables
from persimmonpath import wire
from persimmonpath import workers
from tests import fakes

ZONES = ("zone-a", "zone-b", "zone-c", "zone-d")
WORKERS_PER_VM = 24
TRAFFIC_S = 60.0
TRIALS = 20
STEP_S = 0.05
# The baseline keeps a lease row for each worker instead of one session for
# each entry VM.
BASELINE_RENEWAL_S = 3.0
BASELINE_READ_S = 1.0


class Counter:
    """Counts calls and the bytes of their bodies, without HTTP headers."""

    def __init__(self):
        self.bytes = 0
        self.calls = 0

    def add(self, *bodies):
        """Counts one call, given the bodies of its request and response."""
        self.calls += 1
        self.bytes += sum(len(body) for body in bodies)


class CountingTable(tables.Table):
    """Counts the calls that an entry VM makes to the table."""

    def __init__(self, table, counter):
        self._table = table
        self._counter = counter

    def get(self, key):
        reply = self._table.get(key)
        body = wire.encode(reply.unwrap(), tables.Row | None)
        self._counter.add(key.encode(), body)
        return reply

    def scan(self, prefix):
        reply = self._table.scan(prefix)
        body = wire.encode(reply.unwrap(), list[tables.Row])
        self._counter.add(prefix.encode(), body)
        return reply

    def commit(self, checks, writes):
        body = wire.encode(httpplatform.CommitBody(checks, writes))
        self._counter.add(body, b"12345678")
        return self._table.commit(checks, writes)


class CountingWorker:
    """Counts the fence and renewal calls to a worker."""

    def __init__(self, worker, counter):
        self._worker = worker
        self._counter = counter

    def __getattr__(self, name):
        return getattr(self._worker, name)

    def fence(self, epoch, owner, lease_s, timeout_s):
        body = httpworkers.FenceBody(epoch, owner, lease_s)
        reply = self._worker.fence(epoch, owner, lease_s, timeout_s)
        self._count(body, reply)
        return reply

    def renew(self, epoch, lease_s, acknowledged, timeout_s):
        body = httpworkers.RenewBody(epoch, lease_s, acknowledged)
        reply = self._worker.renew(epoch, lease_s, acknowledged, timeout_s)
        self._count(body, reply)
        return reply

    def _count(self, body, reply):
        answer = reply.result().value_or("refused")
        self._counter.add(wire.encode(body), wire.encode(answer))


class CountingMachines(machines.MachineList):
    """Counts the reads of the platform's VM list."""

    def __init__(self, machine_list, counter):
        self._machines = machine_list
        self._counter = counter
        self._last = b""

    def read(self):
        reply = self._machines.read()
        body = wire.encode(reply.unwrap(), list[machines.Machine])
        # An unchanged list is answered with 304; only the ETag is counted.
        is_known = body == self._last
        self._last = body
        self._counter.add(b"0123456789abcdef", b"" if is_known else body)
        return reply

    def mark(self, name, state):
        self._machines.mark(name, state)


def create_cell(vms, counter, seed=1, zones=ZONES):
    """Returns a cell with an applied inventory.

    The entry VMs start at different times, so that their timers don't fire
    together.
    """
    generator = random.Random(seed)
    cell = fakes.FakeCell()
    cell.machines = CountingMachines(cell.machines, counter)
    for number in range(vms * WORKERS_PER_VM):
        name = f"{zones[number % len(zones)]}-w{number}"
        cell.add_worker(name)
        cell.workers[name] = CountingWorker(cell.workers[name], counter)
    for number in range(vms):
        zone = zones[number % len(zones)]
        table = CountingTable(cell.store, counter)
        cell.add_entry(f"e{number}", zone, table)
        cell.timers.advance(generator.uniform(0.1, 1.1))
    cell.import_inventory()
    cell.timers.advance(30.0 + generator.uniform(0.0, 2.0))
    return cell


def measure_traffic():
    """Prints bytes and calls of control traffic per entry VM and second."""
    for vms in (4, 8, 16):
        counter = Counter()
        cell = create_cell(vms, counter)
        counter.bytes = counter.calls = 0
        cell.timers.advance(TRAFFIC_S)
        baseline = Counter()
        send_baseline(cell, vms, baseline)
        for name, unit, value, base in (
            ("bytes", "B/s", counter.bytes, baseline.bytes),
            ("calls", "calls/s", counter.calls, baseline.calls),
        ):
            report.print_figure(
                f"membership_control_{name}_per_vm_at_{vms}_vms",
                value / vms / TRAFFIC_S,
                unit,
                base / vms / TRAFFIC_S,
            )


def send_baseline(cell, vms, counter):
    """Counts the traffic of a lease row per worker, scanned every second."""
    table = CountingTable(tables.create_memory_table(), counter)
    rows = [
        tables.Write(
            f"lease/{name}",
            wire.encode(
                {"vm": "e0", "incarnation": "0" * 12, "counter": 100}
            ).decode(),
        )
        for name in cell.workers
    ]
    table.commit([], rows)
    counter.bytes = counter.calls = 0
    for _ in range(int(TRAFFIC_S / BASELINE_RENEWAL_S)):
        for row in rows:
            table.commit([], [row])
    for _ in range(int(TRAFFIC_S / BASELINE_READ_S)):
        for _ in range(vms):
            table.scan("lease/")
    renew = wire.encode(httpworkers.RenewBody(2, 15.0, 0))
    answer = wire.encode(
        workers.Renewal([], 0, False, workers.Usage(fakes.WORKER_SIZE, 0))
    )
    for _ in range(int(TRAFFIC_S / BASELINE_RENEWAL_S)):
        for _ in rows:
            counter.add(renew, answer)


def measure_configuration(announces_at_once):
    """Measures the rollout of configuration versions.

    Args:
        announces_at_once: Whether an entry VM renews its session as soon as
            it applies a version.

    Returns:
        Seconds until every entry VM applies a version, and seconds until the
        version is accepted, for each trial.
    """
    generator = random.Random(2)
    cell = create_cell(16, Counter())
    if not announces_at_once:
        for entry in cell.entries.values():
            # The session then shows the version at its next renewal only.
            entry._rollout._on_applied = entry.shard_manager.apply_config
    in_force, accepted = [], []
    for _ in range(TRIALS):
        cell.timers.advance(generator.uniform(5.0, 7.0))
        entry = generator.choice(list(cell.entries.values()))
        base = entry.applied.config
        version = base.version + 1
        entry.commit_config(
            base.version, "operator", base.inventory, base.rules
        ).unwrap()
        started = cell.timers.now()
        while any(
            e.applied.config.version < version for e in cell.entries.values()
        ):
            cell.timers.advance(STEP_S)
        in_force.append(cell.timers.now() - started)
        while read_accepted(cell) < version:
            cell.timers.advance(STEP_S)
        accepted.append(cell.timers.now() - started)
    return in_force, accepted


def read_accepted(cell):
    """Returns the version that the table lists as accepted."""
    row = cell.store.get(acceptance.ACCEPTED_KEY).unwrap()
    return wire.decode(acceptance.AcceptedRecord, row.value).version


def measure_takeover():
    """Returns the seconds from the loss of an owner to the next ownership."""
    times = []
    for seed in range(TRIALS):
        cell = create_cell(4, Counter(), seed, ("zone-a",))
        shard, (owner,) = sorted(cell.list_owners().items())[0]
        cell.pause(owner)
        started = cell.timers.now()
        while cell.list_owners()[shard] == [owner]:
            cell.timers.advance(STEP_S)
        times.append(cell.timers.now() - started)
    return times


def print_times(name, times, baseline):
    """Prints mean and maximum of times in seconds."""
    for suffix, choose in (("mean", compute_mean), ("max", max)):
        report.print_figure(
            f"membership_{name}_{suffix}", choose(times), "s", choose(baseline)
        )


def compute_mean(values):
    """Returns the arithmetic mean."""
    return sum(values) / len(values)


def measure():
    """Prints every figure."""
    logging.set_verbosity(logging.ERROR)
    measure_traffic()
    in_force, accepted = measure_configuration(True)
    delayed_in_force, delayed_accepted = measure_configuration(False)
    print_times("config_in_force", in_force, delayed_in_force)
    print_times("config_accepted", accepted, delayed_accepted)
    times = measure_takeover()
    # Without fencing, a successor would have to wait until the leases of the
    # workers have expired.
    with mock.patch.object(sessions, "SESSION_TTL_S", leases.WORKER_LEASE_S):
        baseline = measure_takeover()
    print_times("takeover", times, baseline)


if __name__ == "__main__":
    measure()
