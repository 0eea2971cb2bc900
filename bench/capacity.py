"""Slopes of state, messages and processor time, for docs/CAPACITY.md."""

import time
import tracemalloc

from bench import cells
from bench import report
from persimmonpath import configchanges
from persimmonpath import configuration
from persimmonpath import identifiers
from persimmonpath import inventory
from persimmonpath import outcomes
from persimmonpath import requestrecords
from persimmonpath import rules
from persimmonpath import wire
from scripts import processes

WORKER_COUNTS = (27, 220, 880)
LEDGER_ENTRIES = 20_000
ANSWER_BYTES = 100
REPEATS = 20
IDLE_SECONDS = 8.0
FEW_WORKERS = 2
MANY_WORKERS = 14
SHARD = identifiers.ShardId("zone-a", 0)


def create_configuration(count, version=1, cores=16):
    """Returns a configuration of `count` workers; `cores` is the first's."""
    listed = tuple(
        inventory.Worker(
            name=f"worker-{number:04}",
            zone=f"zone-{number % 4}",
            rack=f"rack-{number // 5}",
            shard=0,
            host=f"10.0.{number // 250}.{number % 250 + 1}",
            port=7400,
            cpu_millis=1000 * (cores if number == 0 else 16),
            memory_mib=32768,
        )
        for number in range(count)
    )
    zones = tuple(inventory.Zone(name=f"zone-{n}") for n in range(4))
    return configuration.Configuration(
        version,
        "operator",
        inventory.Inventory(zones=zones, workers=listed),
        rules.Rules(),
    )


def time_call(action):
    """Returns the best of several runs in milliseconds and the last result."""
    best = float("inf")
    for _ in range(REPEATS):
        started = time.perf_counter()
        value = action()
        best = min(best, time.perf_counter() - started)
    return 1000 * best, value


def measure_configuration():
    """Bytes and time of a version, read whole and read as a change."""
    for count in WORKER_COUNTS:
        before = create_configuration(count)
        after = create_configuration(count, version=2, cores=32)
        whole = wire.encode(after)
        change = wire.encode(configchanges.compute_change(before, after))
        report.print_figure(
            f"configuration_read_{count}_workers",
            len(change),
            "bytes",
            len(whole),
        )
        whole_ms, _ = time_call(
            lambda whole=whole: wire.decode(configuration.Configuration, whole)
        )
        change_ms, applied = time_call(
            lambda before=before, change=change: configchanges.apply_change(
                before, wire.decode(configchanges.ConfigChange, change)
            )
        )
        assert applied == after
        report.print_figure(
            f"configuration_apply_{count}_workers", change_ms, "ms", whole_ms
        )


def measure_ledger():
    """Memory of one entry of the ledger with a small answer."""
    tracemalloc.start()
    book = requestrecords.RequestRecords(SHARD, 1)
    before, _ = tracemalloc.get_traced_memory()
    for request_id in book.issue(LEDGER_ENTRIES):
        book.admit(request_id, "0" * 32)
        answer = bytes(ANSWER_BYTES)
        book.finish(request_id, outcomes.Done(answer, "worker"))
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    report.print_figure(
        "ledger_entry_memory", (after - before) / LEDGER_ENTRIES, "bytes"
    )


def measure_worker_slope():
    """Control traffic, processor time and memory per worker held."""
    found = {}

    def measure_cell(cell):
        held = cell.shape.workers_per_zone / cell.shape.entry_vms_per_zone
        pids = [cell.processes[name].pid for name in cell.entries]
        cpu = sum(map(cells.read_cpu_seconds, pids))
        traffic = read_worker_bytes(cell)
        time.sleep(IDLE_SECONDS)
        cpu = sum(map(cells.read_cpu_seconds, pids)) - cpu
        traffic = read_worker_bytes(cell) - traffic
        found[held] = (
            100 * cpu / len(pids) / IDLE_SECONDS,
            traffic / len(cell.workers) / IDLE_SECONDS,
            max(map(cells.read_rss_mib, pids)),
        )

    for count in (FEW_WORKERS, MANY_WORKERS):
        shape = processes.Shape(
            entry_vms_per_zone=1, workers_per_zone=count, spans=False
        )
        cells.run_in_cell(shape, measure_cell)
    few, many = found[FEW_WORKERS], found[MANY_WORKERS]
    step = MANY_WORKERS - FEW_WORKERS
    report.print_figure(
        "entry_vm_cpu_without_workers",
        few[0] - FEW_WORKERS * (many[0] - few[0]) / step,
        "percent_of_core",
    )
    report.print_figure(
        "entry_vm_cpu_per_idle_worker",
        (many[0] - few[0]) / step,
        "percent_of_core",
    )
    report.print_figure("worker_control_traffic", many[1], "bytes/s", 2048.0)
    report.print_figure(
        "entry_vm_memory_per_worker", (many[2] - few[2]) / step, "MiB"
    )


def read_worker_bytes(cell):
    """Returns the bytes that all workers sent and received."""
    return sum(
        cells.get_json(f"127.0.0.1:{port}", "/statistics")["bytes"]
        for _, port in cell.workers.values()
    )


def measure():
    """Prints every slope."""
    measure_configuration()
    measure_ledger()
    measure_worker_slope()
