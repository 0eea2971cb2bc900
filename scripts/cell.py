"""Starts and stops a small cell of real processes and sends it work."""

import base64
import collections
from concurrent import futures
import json
import os
import pathlib
import signal
import sys
import tempfile
import time

from scripts import processes

STATE = pathlib.Path(".cell")
JOB_TIMEOUT_S = 20
SERVICE_RUN_S = 2.0
REQUESTS = 24
JOBS_PER_FORM = 2
OUTCOMES = ("done", "failed", "not_run", "unknown")
KINDS = ("request", "batch", "service", "gang")

# Outcomes by exit code of persimmonctl, for output without a JSON body.
EXIT_OUTCOMES = {1: "failed", 2: "not_run", 3: "not_run", 5: "not_run"}


def send_request(cell, number):
    """Sends one request; returns the kind `request` and the outcome."""
    payload = json.dumps({"run_s": 0.02, "number": number})
    extra = ["--idempotent"] if number % 2 else []
    done = cell.control("submit", payload, "--json", *extra)
    outcome = read_outcome(done)
    if outcome == "done" and not has_expected_answer(done, payload):
        outcome = "failed"
    return "request", outcome


def has_expected_answer(process, payload):
    """Returns whether the answer is the payload in upper case."""
    encoded = json.loads(process.stdout)["answer"]
    return base64.b64decode(encoded) == payload.upper().encode()


def run_job(cell, form, number):
    """Submits a job and waits for its end; returns its form and outcome."""
    job_id = f"{form}-{number}"
    fields = {"forever": True} if form == "service" else {"run_s": 0.3}
    submitted = cell.control(
        "job",
        "submit",
        form,
        job_id,
        json.dumps(fields),
        "--tasks",
        "3",
        "--json",
    )
    if submitted.returncode != 0:
        return form, read_outcome(submitted)
    if form == "service":
        time.sleep(SERVICE_RUN_S)
        cell.control("job", "cancel", job_id)
    waited = cell.control(
        "job", "wait", job_id, "--timeout-s", str(JOB_TIMEOUT_S), "--json"
    )
    # A service runs until it is cancelled, so `cancelled` is its success.
    expected = "cancelled" if form == "service" else "done"
    state = read_field(waited, "state")
    if state == expected:
        return form, "done"
    return form, "failed" if state in ("failed", "cancelled") else "unknown"


def read_outcome(process):
    """Returns the outcome that persimmonctl printed.

    Without a valid one, prints the output of the command to stderr and derives
    the outcome from the exit code.
    """
    outcome = read_field(process, "outcome")
    if outcome in OUTCOMES:
        return outcome
    print(process.stdout, process.stderr, file=sys.stderr)
    return EXIT_OUTCOMES.get(process.returncode, "unknown")


def read_field(process, name):
    """Returns a field of the JSON that persimmonctl printed, or None."""
    try:
        return json.loads(process.stdout).get(name)
    except ValueError:
        return None


def run():
    """Starts a cell, sends a mixed load, stops it; returns the exit status."""
    started_at = time.monotonic()
    with tempfile.TemporaryDirectory() as directory:
        cell = processes.Cell(directory)
        try:
            cell.start()
            counts = send_load(cell)
        finally:
            ignore_signals()
            cell.stop()
            if sys.exc_info()[0] not in (None, KeyboardInterrupt):
                print_logs(pathlib.Path(directory))
    print(f"took {time.monotonic() - started_at:.1f} s")
    return report(counts)


def send_load(cell):
    """Sends requests and jobs concurrently; counts them by kind and outcome."""
    counts = collections.Counter()
    pool = futures.ThreadPoolExecutor(8)
    try:
        sent = [pool.submit(send_request, cell, n) for n in range(REQUESTS)]
        for form in KINDS[1:]:
            sent += [
                pool.submit(run_job, cell, form, n)
                for n in range(JOBS_PER_FORM)
            ]
        for future in sent:
            counts[future.result()] += 1
    finally:
        pool.shutdown(wait=False, cancel_futures=True)
    return counts


def report(counts):
    """Prints outcomes by kind and the totals; returns the exit status."""
    print(f"{'kind':10}" + "".join(f"{name:>10}" for name in OUTCOMES))
    for kind in KINDS:
        row = "".join(f"{counts[kind, name]:10}" for name in OUTCOMES)
        print(f"{kind:10}{row}")
    totals = {
        name: sum(counts[kind, name] for kind in KINDS) for name in OUTCOMES
    }
    accepted = sum(totals.values()) - totals["not_run"]
    print(
        f"run: accepted={accepted} done={totals['done']} "
        f"not_run={totals['not_run']} unknown={totals['unknown']}"
    )
    is_good = accepted == totals["done"] and not totals["unknown"]
    return 0 if is_good else 1


def print_logs(directory):
    """Prints the last lines of every log in a directory to stderr."""
    for path in sorted(directory.glob("*.log")):
        lines = path.read_text(errors="replace").splitlines()[-15:]
        print(f"--- {path.name}", *lines, sep="\n", file=sys.stderr)


def up():
    """Starts a cell that runs until `down`; returns the exit status."""
    if (STATE / "cell.json").exists():
        print("a cell is up already; `make down` stops it", file=sys.stderr)
        return 1
    cell = processes.Cell(STATE)
    try:
        cell.start()
    except BaseException as error:
        ignore_signals()
        cell.stop()
        if not isinstance(error, KeyboardInterrupt):
            print_logs(STATE)
        raise
    cell.save()
    addresses = ",".join(map(cell.get_http_address, cell.entries))
    print(f"export PERSIMMON_ENTRY={addresses}")
    return 0


def down():
    """Stops the cell that `up` started; returns the exit status."""
    path = STATE / "cell.json"
    if not path.exists():
        print("no cell is up")
        return 0
    remaining = json.loads(path.read_text())["pids"]
    for number in (signal.SIGTERM, signal.SIGKILL):
        remaining = {
            n: p
            for n, p in remaining.items()
            if processes.signal_cell_process(p, number)
        }
        deadline = time.monotonic() + processes.STOP_TIMEOUT_S
        while remaining and time.monotonic() < deadline:
            time.sleep(0.1)
            remaining = {
                n: p
                for n, p in remaining.items()
                if processes.is_cell_process(p)
            }
    path.unlink()
    print("the cell is down")
    return 0


def raise_interrupt(*_):
    """Handles a signal as Ctrl-C is handled, by KeyboardInterrupt."""
    raise KeyboardInterrupt


def ignore_signals():
    """Ignores further signals, so that every process gets stopped."""
    for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)


def main():
    """Runs the command that the first argument names."""
    # SIGINT too, since a shell starts background commands with it ignored.
    for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, raise_interrupt)
    try:
        return {"run": run, "up": up, "down": down}[sys.argv[1]]()
    except KeyboardInterrupt:
        print("interrupted; every process was stopped", file=sys.stderr)
        return 130


if __name__ == "__main__":
    status = main()
    sys.stdout.flush()
    # Skips the join of pool threads that an interrupted run leaves behind.
    os._exit(status)
