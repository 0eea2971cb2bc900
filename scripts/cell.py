"""Brings a small cell up and down, and sends it a mixed load."""

import collections
from concurrent import futures
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

from scripts import processes

STATE = pathlib.Path(".cell")
JOB_TIMEOUT_S = 30.0


def send_request(cell, number):
    """Sends one request and returns its kind and outcome."""
    payload = json.dumps({"run_s": 0.02, "number": number})
    extra = ["--idempotent"] if number % 2 else []
    done = cell.control("submit", payload, *extra)
    return "request", read_outcome(done)


def run_job(cell, form, number):
    """Submits a job, waits for its end, and returns form and outcome."""
    job_id = f"{form}-{number}"
    fields = {"forever": True} if form == "service" else {"run_s": 0.3}
    submitted = cell.control(
        "job", "submit", form, job_id, json.dumps(fields), "--tasks", "3"
    )
    if submitted.returncode != 0:
        return form, read_outcome(submitted)
    if form == "service":
        time.sleep(2.0)
        cell.control("job", "cancel", job_id)
    deadline = time.monotonic() + JOB_TIMEOUT_S
    while time.monotonic() < deadline:
        shown = cell.control("job", "show", job_id)
        state = json.loads(shown.stdout or "{}").get("state", "")
        if state in ("done", "cancelled"):
            return form, "done"
        if state == "failed":
            return form, "failed"
        time.sleep(0.5)
    return form, "unknown"


def read_outcome(process):
    """Returns the outcome that persimmonctl printed."""
    try:
        return json.loads(process.stdout).get("outcome", "unknown")
    except ValueError:
        print(process.stderr, file=sys.stderr)
        return "unknown"


def run():
    """Runs the cell with a mixed load; returns the exit status."""
    with tempfile.TemporaryDirectory() as directory:
        cell = processes.Cell(directory)
        try:
            cell.start()
            counts = send_load(cell)
        finally:
            cell.stop()
            if sys.exc_info()[0] is not None:
                print_logs(pathlib.Path(directory))
    return report(counts)


def send_load(cell):
    """Sends all kinds of work; returns counts by kind and outcome."""
    counts = collections.Counter()
    with futures.ThreadPoolExecutor(8) as pool:
        sent = [pool.submit(send_request, cell, n) for n in range(24)]
        for form in ("batch", "service", "gang"):
            sent += [pool.submit(run_job, cell, form, n) for n in range(2)]
        for future in sent:
            counts[future.result()] += 1
    return counts


def report(counts):
    """Prints a table and the closing line; returns the exit status."""
    names = ("done", "failed", "not_run", "unknown")
    print(f"{'kind':10}" + "".join(f"{name:>10}" for name in names))
    for kind in ("request", "batch", "service", "gang"):
        row = "".join(f"{counts[kind, name]:10}" for name in names)
        print(f"{kind:10}{row}")
    totals = {n: sum(counts[k] for k in counts if k[1] == n) for n in names}
    accepted = sum(totals.values()) - totals["not_run"]
    print(
        f"run: accepted={accepted} done={totals['done']} "
        f"not_run={totals['not_run']} unknown={totals['unknown']}"
    )
    return 0 if accepted == totals["done"] and not totals["unknown"] else 1


def print_logs(directory):
    """Prints the last lines of every log."""
    for path in sorted(directory.glob("*.log")):
        lines = path.read_text(errors="replace").splitlines()[-15:]
        print(f"--- {path.name}", *lines, sep="\n", file=sys.stderr)


def up():
    """Starts a cell that keeps running."""
    if (STATE / "cell.json").exists():
        print("a cell is up already; `make down` stops it", file=sys.stderr)
        return 1
    cell = processes.Cell(STATE)
    try:
        cell.start()
    except (RuntimeError, subprocess.CalledProcessError):
        cell.stop()
        print_logs(STATE)
        raise
    cell.save()
    addresses = ",".join(map(cell.get_http_address, cell.entries))
    print(f"export PERSIMMON_ENTRY={addresses}")
    return 0


def down():
    """Stops the cell that `up` started."""
    path = STATE / "cell.json"
    if not path.exists():
        print("no cell is up")
        return 0
    for name, pid in json.loads(path.read_text())["pids"].items():
        try:
            os.kill(pid, signal.SIGTERM)
        except ProcessLookupError:
            print(f"{name} had stopped already")
    path.unlink()
    return 0


if __name__ == "__main__":
    sys.exit({"run": run, "up": up, "down": down}[sys.argv[1]]())
