"""Benchmarks of a small cell of real processes on the loopback address."""

import json
import os
import pathlib
import tempfile
import threading
import time

from hdrh import histogram
import urllib3

from bench import report
from scripts import processes

LOAD_THREADS = 16
LOAD_SECONDS = 6.0
IDLE_SECONDS = 10.0
SETTLE_SECONDS = 5.0
RUN_S = 0.005
REQUEST_TIMEOUT_MS = 5000
WAIT_LIMIT_S = 60.0
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
ENTRY_COUNTS = (4, 8, 16)


class LoadGenerator:
    """Sends calls in a closed loop from a fixed number of threads.

    Attributes:
        outcomes: Number of calls by outcome name.
        histogram: Response times in microseconds.
    """

    def __init__(self, send, threads=LOAD_THREADS):
        """Creates a load generator.

        Args:
            send: Function of a connection pool that returns an outcome name.
            threads: Number of threads.
        """
        self._send = send
        self._threads = threads
        self._lock = threading.Lock()
        self.outcomes = {}
        self.histogram = histogram.HdrHistogram(1, 60_000_000, 3)

    def run(self, seconds):
        """Sends for a time in seconds; returns the responses per second."""
        end = time.monotonic() + seconds
        threads = [
            threading.Thread(target=self._loop, args=(end,))
            for _ in range(self._threads)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return sum(self.outcomes.values()) / seconds

    def _loop(self, end):
        pool = urllib3.PoolManager()
        while time.monotonic() < end:
            started = time.monotonic()
            outcome = self._send(pool)
            micros = int((time.monotonic() - started) * 1e6)
            with self._lock:
                self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
                self.histogram.record_value(micros)

    def percentile_ms(self, percentile):
        """Returns a percentile of all response times in milliseconds."""
        return self.histogram.get_value_at_percentile(percentile) / 1000


def send_request(pool, address, **fields):
    """Sends a request to an entry VM; returns the parsed response.

    A connection error is reported as the outcome `connection_failed`.
    """
    body = {
        "payload": "eyJydW5fcyI6IDAuMDA1fQ==",
        "timeout_ms": REQUEST_TIMEOUT_MS,
        **fields,
    }
    try:
        reply = pool.request(
            "POST",
            f"http://{address}/v1/requests",
            body=json.dumps(body).encode(),
            headers={"Content-Type": "application/json"},
            retries=False,
            timeout=10.0,
        )
        return json.loads(reply.data)
    except urllib3.exceptions.HTTPError:
        return {"outcome": "connection_failed"}


def send_to_worker(pool, port, epoch, counter):
    """Starts an attempt directly at a worker; returns `done` or `refused`."""
    start = {
        "attempt": f"direct/{next(counter)}#1",
        "epoch": epoch,
        "start_within_s": 5.0,
        "size": {"cpu_millis": 100, "memory_mib": 64, "accelerators": 0},
        "payload": "eyJydW5fcyI6IDAuMDA1fQ==",
    }
    reply = pool.request(
        "POST",
        f"http://127.0.0.1:{port}/tasks",
        body=json.dumps({"start": start, "wait": True}).encode(),
        retries=False,
        timeout=10.0,
    )
    return "done" if reply.status == 200 else "refused"


def get_json(address, path):
    """Returns the parsed body of a GET, or None after an error."""
    try:
        reply = urllib3.PoolManager().request(
            "GET", f"http://{address}{path}", retries=False, timeout=5.0
        )
        return json.loads(reply.data)
    except (urllib3.exceptions.HTTPError, ValueError):
        return None


def wait_until(condition, limit_s=WAIT_LIMIT_S, period_s=0.02):
    """Polls a condition; returns the seconds until it holds.

    Raises:
        RuntimeError: If it does not hold within the limit.
    """
    started = time.monotonic()
    while time.monotonic() < started + limit_s:
        if condition():
            return time.monotonic() - started
        time.sleep(period_s)
    raise RuntimeError(f"not reached within {limit_s} s")


def read_cpu_seconds(pid):
    """Returns the user and system time of a process in seconds."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def read_rss_mib(pid):
    """Returns the resident memory of a process in MiB."""
    text = pathlib.Path(f"/proc/{pid}/statm").read_text()
    return int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE") / 2**20


def run_in_cell(shape, measure_cell):
    """Starts a cell, passes it to `measure_cell` and stops it."""
    with tempfile.TemporaryDirectory() as directory:
        cell = processes.Cell(directory, shape)
        try:
            cell.start()
            time.sleep(SETTLE_SECONDS)
            measure_cell(cell)
        finally:
            cell.stop()


def measure_throughput(cell):
    """Prints throughput and latency of requests through one entry VM.

    The baseline calls one worker directly.
    """
    name = next(iter(cell.entries))
    address = cell.get_http_address(name)
    pid = cell.processes[name].pid
    before = read_cpu_seconds(pid)
    load = LoadGenerator(lambda pool: send_request(pool, address)["outcome"])
    rate = load.run(LOAD_SECONDS)
    cpu = read_cpu_seconds(pid) - before
    worker = next(iter(cell.workers.values()))[1]
    direct = measure_direct(worker)
    answered = sum(load.outcomes.values())
    share = load.outcomes.get("done", 0) / answered
    report.print_figure(
        "requests_through_one_entry_vm",
        rate,
        "answers/s",
        direct.outcomes.get("done", 0) / LOAD_SECONDS,
    )
    report.print_figure("requests_done_share", share, "share")
    report.print_figure("entry_vm_cpu_per_request", 1000 * cpu / answered, "ms")
    for percentile in (50, 99, 99.9):
        report.print_figure(
            f"request_time_p{percentile:g}",
            load.percentile_ms(percentile),
            "ms",
            direct.percentile_ms(percentile),
        )


def measure_direct(port):
    """Returns the load of direct calls to a worker stand-in.

    Args:
        port: Port of the worker.
    """
    fence = {"epoch": 1_000_000, "owner": "bench", "lease_s": 60.0}
    urllib3.PoolManager().request(
        "POST", f"http://127.0.0.1:{port}/fence", body=json.dumps(fence)
    )
    counter = iter(range(10_000_000))
    # The worker has 8 slots and rejects further attempts.
    load = LoadGenerator(
        lambda pool: send_to_worker(pool, port, 1_000_000, counter), threads=8
    )
    load.run(LOAD_SECONDS)
    return load


def measure_configuration(cell):
    """Prints the time until every entry VM applies a new configuration."""
    addresses = [cell.get_http_address(name) for name in cell.entries]
    times = []
    for _ in range(3):
        version = get_json(addresses[0], "/v1/config")["version"]
        started = time.monotonic()
        cell.import_inventory()
        wait_until(
            lambda version=version: all(
                get_json(a, "/v1/config")["version"] > version
                for a in addresses
            )
        )
        times.append(time.monotonic() - started)
    # The time includes the start of the persimmonctl process.
    report.print_figure("configuration_in_force_max", max(times), "s", 4.0)


def measure_drain(cell):
    """Prints the time from a drain command to the worker's last new attempt."""
    name, (_, port) = next(iter(cell.workers.items()))
    address = cell.get_http_address(next(iter(cell.entries)))
    stopping = threading.Event()

    def send(pool):
        if stopping.is_set():
            return "stopped"
        return send_request(pool, address)["outcome"]

    load = LoadGenerator(send, threads=4)
    thread = threading.Thread(target=load.run, args=(10.0,))
    thread.start()
    time.sleep(2.0)
    started = time.monotonic()
    # Don't wait for acceptance: that includes the entry VMs of other zones.
    cell.control("inventory", "drain", name, "--wait-s", "0")
    last_change, last_runs = started, -1
    while time.monotonic() < started + 5.0:
        runs = len(get_json(f"127.0.0.1:{port}", "/statistics")["runs"])
        if runs != last_runs:
            last_change, last_runs = time.monotonic(), runs
        time.sleep(0.02)
    stopping.set()
    thread.join()
    report.print_figure("drain_last_new_work", last_change - started, "s", 5.0)


def find_owner(address, request_id):
    """Returns the name of the entry VM that owns the shard of a request id."""
    zone_name, index, *_ = request_id.split(".")
    zones = get_json(address, "/v1/zones")["zones"]
    shards = next(z["shards"] for z in zones if z["name"] == zone_name)
    return next(s["owner"] for s in shards if s["index"] == int(index))


def measure_takeover(cell):
    """Prints the time from SIGKILL of an owner until its successor answers.

    A successor never runs an id that an earlier owner issued. Once it has the
    listings of all workers, it answers `not_run` for an unused one.
    """
    address = cell.get_http_address(next(iter(cell.entries)))
    pool = urllib3.PoolManager()
    reply = pool.request(
        "POST", f"http://{address}/v1/ids", body=b'{"count": 1000}'
    )
    ids = json.loads(reply.data)["ids"]
    owner = find_owner(address, ids[0])
    zone = cell.entries[owner][0]
    other = next(
        name
        for name, entry in cell.entries.items()
        if entry[0] == zone and name != owner
    )
    unused = iter(ids)
    cell.processes[owner].kill()
    seconds = wait_until(
        lambda: (
            send_request(
                pool, cell.get_http_address(other), id=next(unused)
            ).get("outcome")
            == "not_run"
        ),
        period_s=0.1,
    )
    report.print_figure("takeover_after_sigkill", seconds, "s")


def measure_idle(cell):
    """Prints control traffic, processor time and memory of idle entry VMs."""
    count = len(cell.entries)
    pids = [cell.processes[name].pid for name in cell.entries]
    cpu = sum(map(read_cpu_seconds, pids))
    table = get_json(cell.platform, "/statistics")["bytes"]
    time.sleep(IDLE_SECONDS)
    table = get_json(cell.platform, "/statistics")["bytes"] - table
    cpu = sum(map(read_cpu_seconds, pids)) - cpu
    report.print_figure(
        f"idle_platform_traffic_per_entry_vm_{count}",
        table / count / IDLE_SECONDS,
        "bytes/s",
        2048.0,
    )
    report.print_figure(
        f"idle_cpu_per_entry_vm_{count}",
        100 * cpu / count / IDLE_SECONDS,
        "percent_of_core",
        1.2,
    )
    report.print_figure(
        f"idle_memory_per_entry_vm_{count}",
        max(map(read_rss_mib, pids)),
        "MiB",
        128.0,
    )


def measure():
    """Prints every figure.

    The baseline of an idle figure is the upper bound that it has to meet.
    """

    def measure_all(cell):
        measure_throughput(cell)
        measure_configuration(cell)
        measure_drain(cell)
        measure_takeover(cell)

    run_in_cell(processes.Shape(spans=False), measure_all)
    for count in ENTRY_COUNTS:
        shape = processes.Shape(entry_vms_per_zone=count // 2, spans=False)
        run_in_cell(shape, measure_idle)


if __name__ == "__main__":
    measure()
