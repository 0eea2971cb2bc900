"""Cost per worker and per request id in bytes, memory and processor time.

The figures feed the capacity model in docs/CAPACITY.md.
"""

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
RECORD_COUNT = 20_000
ANSWER_BYTES = 100
REPEATS = 20
IDLE_SECONDS = 8.0
FEW_WORKERS = 2
MANY_WORKERS = 14
SHARD = identifiers.ShardId("zone-a", 0)


def create_configuration(count, version=1, cores=16):
    """Returns a configuration of `count` workers.

    Args:
        count: Number of workers.
        version: Version of the configuration.
        cores: Cores of the first worker; the others have 16.
    """
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
    """Returns the shortest of REPEATS calls in ms, and the last value."""
    best = float("inf")
    for _ in range(REPEATS):
        started = time.perf_counter()
        value = action()
        best = min(best, time.perf_counter() - started)
    return 1000 * best, value


def measure_configuration():
    """Prints size and decoding time of a version, as a change and in full."""
    for count in WORKER_COUNTS:
        before = create_configuration(count)
        after = create_configuration(count, version=2, cores=32)
        full_bytes = wire.encode(after)
        change_bytes = wire.encode(configchanges.compute_change(before, after))
        report.print_figure(
            f"configuration_read_{count}_workers",
            len(change_bytes),
            "bytes",
            len(full_bytes),
        )
        full_ms, _ = time_call(
            lambda full_bytes=full_bytes: wire.decode(
                configuration.Configuration, full_bytes
            )
        )
        change_ms, applied = time_call(
            lambda before=before, change_bytes=change_bytes: (
                configchanges.apply_change(
                    before,
                    wire.decode(configchanges.ConfigChange, change_bytes),
                )
            )
        )
        assert applied == after
        report.print_figure(
            f"configuration_apply_{count}_workers", change_ms, "ms", full_ms
        )


def measure_request_records():
    """Prints the memory of one finished request id with a small answer."""
    tracemalloc.start()
    records = requestrecords.RequestRecords(SHARD, 1)
    before, _ = tracemalloc.get_traced_memory()
    for request_id in records.issue(RECORD_COUNT):
        records.admit(request_id, "0" * 32)
        answer = bytes(ANSWER_BYTES)
        records.finish(request_id, outcomes.Done(answer, "worker"))
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    report.print_figure(
        "ledger_entry_memory", (after - before) / RECORD_COUNT, "bytes"
    )


def measure_cost_per_worker():
    """Prints control traffic, processor time and memory per worker.

    The slope between a cell with few and one with many workers separates the
    cost of a worker from the fixed cost of an entry VM.
    """
    samples = {}

    def measure_cell(cell):
        workers_per_vm = (
            cell.shape.workers_per_zone / cell.shape.entry_vms_per_zone
        )
        pids = [cell.processes[name].pid for name in cell.entries]
        cpu = sum(map(cells.read_cpu_seconds, pids))
        traffic = read_worker_bytes(cell)
        time.sleep(IDLE_SECONDS)
        cpu = sum(map(cells.read_cpu_seconds, pids)) - cpu
        traffic = read_worker_bytes(cell) - traffic
        samples[workers_per_vm] = (
            100 * cpu / len(pids) / IDLE_SECONDS,
            traffic / len(cell.workers) / IDLE_SECONDS,
            max(map(cells.read_rss_mib, pids)),
        )

    for count in (FEW_WORKERS, MANY_WORKERS):
        shape = processes.Shape(
            entry_vms_per_zone=1, workers_per_zone=count, spans=False
        )
        cells.run_in_cell(shape, measure_cell)
    few, many = samples[FEW_WORKERS], samples[MANY_WORKERS]
    added_workers = MANY_WORKERS - FEW_WORKERS
    report.print_figure(
        "entry_vm_cpu_without_workers",
        few[0] - FEW_WORKERS * (many[0] - few[0]) / added_workers,
        "percent_of_core",
    )
    report.print_figure(
        "entry_vm_cpu_per_idle_worker",
        (many[0] - few[0]) / added_workers,
        "percent_of_core",
    )
    report.print_figure("worker_control_traffic", many[1], "bytes/s", 2048.0)
    report.print_figure(
        "entry_vm_memory_per_worker", (many[2] - few[2]) / added_workers, "MiB"
    )


def read_worker_bytes(cell):
    """Returns the bytes that all workers sent and received."""
    return sum(
        cells.get_json(f"127.0.0.1:{port}", "/statistics")["bytes"]
        for _, port in cell.workers.values()
    )


def measure():
    """Prints every figure."""
    measure_configuration()
    measure_request_records()
    measure_cost_per_worker()
