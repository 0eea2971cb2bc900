"""Fault injection cases against a cell of real processes.

Run by `make faults`. Each case starts a cell, sends requests, injects a fault,
and compares the outcomes that callers received with the records of the workers.
"""

import base64
import collections
import json
import random
import signal
import sys
import tempfile
import threading
import time

import urllib3

from scripts import processes
from tests import forwarders

CALLER_THREADS = 6
CALL_TIMEOUT_S = 12.0
QUERY_TIMEOUT_S = 20.0
FINAL_OUTCOMES = ("done", "failed", "not_run")


class FaultCell(processes.Cell):
    """A cell that reaches its platform and workers through forwarders.

    Attributes:
        platform_forwarders: Forwarder to the platform by zone.
        worker_forwarders: Forwarder to the worker by worker name.
    """

    def start(self):
        self.platform_forwarders = {}
        self.worker_forwarders = {}
        super().start()

    def spawn_entry(self, name):
        zone = self.entries[name][0]
        actual = self.platform
        if zone not in self.platform_forwarders:
            port = int(actual.rpartition(":")[2])
            self.platform_forwarders[zone] = forwarders.Forwarder(port)
        self.platform = f"127.0.0.1:{self.platform_forwarders[zone].port}"
        try:
            super().spawn_entry(name)
        finally:
            self.platform = actual

    def format_inventory(self):
        actual = dict(self.workers)
        for name, (zone, port) in actual.items():
            self.worker_forwarders[name] = forwarders.Forwarder(port)
            self.workers[name] = (zone, self.worker_forwarders[name].port)
        try:
            return super().format_inventory()
        finally:
            self.workers = actual

    def stop(self):
        for forwarder in [
            *self.platform_forwarders.values(),
            *self.worker_forwarders.values(),
        ]:
            forwarder.close()
        super().stop()

    def set_platform(self, **faults):
        """Sets the faults of the platform stand-in."""
        send("POST", f"{self.platform}/faults", faults)

    def read_statistics(self):
        """Returns runs by id and the number of overloads, over all workers."""
        runs, overloads = collections.Counter(), 0
        for _, port in self.workers.values():
            body = send("GET", f"127.0.0.1:{port}/statistics")
            runs.update(body["runs"])
            overloads += body["overloads"]
        return runs, overloads


def send(method, url, body=None, timeout=5.0):
    """Makes a call on a new connection; returns the JSON body, or {}."""
    reply = urllib3.PoolManager().request(
        method,
        f"http://{url}",
        body=None if body is None else json.dumps(body).encode(),
        headers={"Connection": "close"},
        retries=False,
        timeout=timeout,
    )
    try:
        return json.loads(reply.data)
    except ValueError:
        return {}


class LoadGenerator:
    """Threads that send non-idempotent requests and record the outcomes.

    Attributes:
        outcomes: Last outcome by request id; `unknown` before a final one.
        interrupted: Number of requests whose connection broke.
        wrong_answers: Ids whose answer doesn't match the payload.
        done_by_entry: Number of `done` replies by entry VM.
    """

    def __init__(self, cell):
        self._cell = cell
        self._stopped = threading.Event()
        self.outcomes = {}
        self.interrupted = 0
        self.wrong_answers = []
        self.done_by_entry = collections.Counter()
        self._threads = [
            threading.Thread(target=self._run, args=(n,))
            for n in range(CALLER_THREADS)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self):
        """Stops the threads and waits for them."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def count_done(self):
        """Returns the number of requests that are done."""
        return sum(o == "done" for o in list(self.outcomes.values()))

    def _run(self, number):
        generator = random.Random(number)
        names = list(self._cell.entries)
        count = 0
        while not self._stopped.is_set():
            count += 1
            name = generator.choice(names)
            payload = json.dumps({"run_s": 0.02, "n": f"{number}-{count}"})
            try:
                self._call(name, payload)
            except (urllib3.exceptions.HTTPError, OSError):
                time.sleep(0.05)

    def _call(self, name, payload):
        address = self._cell.get_http_address(name)
        ids = send("POST", f"{address}/v1/ids", {"count": 1}).get("ids")
        if not ids:
            time.sleep(0.05)
            return
        body = {
            "id": ids[0],
            "payload": base64.b64encode(payload.encode()).decode(),
            "timeout_ms": 5000,
        }
        self.outcomes[ids[0]] = "unknown"
        try:
            url = f"{address}/v1/requests"
            reply = send("POST", url, body, CALL_TIMEOUT_S)
        except urllib3.exceptions.NewConnectionError:
            reply = {}
        except urllib3.exceptions.HTTPError:
            self.interrupted += 1
            reply = {}
        self._record_reply(name, ids[0], payload, reply)
        if reply.get("outcome") not in FINAL_OUTCOMES:
            self._query_outcome(ids[0], payload)

    def _query_outcome(self, request_id, payload):
        deadline = time.monotonic() + QUERY_TIMEOUT_S
        while time.monotonic() < deadline and not self._stopped.is_set():
            for name in self._cell.entries:
                address = self._cell.get_http_address(name)
                try:
                    url = f"{address}/v1/requests/{request_id}"
                    reply = send("GET", url)
                except (urllib3.exceptions.HTTPError, OSError):
                    continue
                self._record_reply(name, request_id, payload, reply)
                if reply.get("outcome") in FINAL_OUTCOMES:
                    return
            time.sleep(0.5)

    def _record_reply(self, name, request_id, payload, reply):
        outcome = reply.get("outcome")
        if outcome == "done":
            answer = base64.b64decode(reply["answer"])
            if answer != payload.upper().encode():
                self.wrong_answers.append(request_id)
            self.done_by_entry[name] += 1
        if outcome in FINAL_OUTCOMES:
            self.outcomes[request_id] = outcome


def wait_progress(load, seconds, min_done=10):
    """Waits and returns the number of requests done meanwhile.

    Raises:
        AssertionError: If fewer than `min_done` were done.
    """
    before = load.count_done()
    time.sleep(seconds)
    done = load.count_done() - before
    if done < min_done:
        raise AssertionError(f"only {done} requests done in {seconds} s")
    return done


def kill_owner(cell, load, duration_s):
    """Kills an entry VM with SIGKILL; the others take over its shards."""
    cell.processes["zone-a-entry-0"].kill()
    time.sleep(8.0)
    return f"done_after={wait_progress(load, duration_s)}"


def pause_owner(cell, load, duration_s):
    """Stops an entry VM until its lease has expired, then continues it."""
    cell.processes["zone-a-entry-0"].send_signal(signal.SIGSTOP)
    time.sleep(max(8.0, duration_s))
    cell.processes["zone-a-entry-0"].send_signal(signal.SIGCONT)
    return f"done_after={wait_progress(load, 6.0)}"


def stop_platform(cell, load, duration_s):
    """Takes the platform down; requests have to go on."""
    cell.set_platform(is_down=True)
    done = wait_progress(load, duration_s * 6)
    cell.set_platform()
    return f"done_while_down={done} done_after={wait_progress(load, 4.0)}"


def lose_commit_answer(cell, load, duration_s):
    """Drops the responses to commits while a job is submitted and runs."""
    del load
    cell.set_platform(loses_answers=True)
    job = json.dumps({"run_s": 0.1})
    cell.control("job", "submit", "batch", "lost", job, "--tasks", "3")
    time.sleep(duration_s)
    cell.set_platform()
    deadline = time.monotonic() + 40
    state = ""
    while time.monotonic() < deadline and state != "done":
        shown = cell.control("job", "show", "lost", "--json").stdout
        state = json.loads(shown or "{}").get("state", "")
        time.sleep(0.5)
    assert state == "done", f"job is {state!r}"
    runs, _ = cell.read_statistics()
    tasks = [runs[f"lost/{n}"] for n in range(3)]
    assert tasks == [1, 1, 1], f"runs of the tasks: {tasks}"
    return "job=done each_task_once=true"


def disconnect_platform(cell, load, duration_s):
    """Refuses, then drops, the calls of one zone to the platform."""
    forwarder = cell.platform_forwarders["zone-a"]
    before = load.done_by_entry["zone-a-entry-0"]
    forwarder.set_mode("drop")
    time.sleep(duration_s)
    forwarder.set_mode("stall")
    time.sleep(duration_s)
    done = load.done_by_entry["zone-a-entry-0"] - before
    assert done >= 10, f"only {done} done through the cut zone"
    forwarder.set_mode("pass")
    return f"done_through_cut_zone={done} done_after={wait_progress(load, 5.0)}"


def stall_worker(cell, load, duration_s):
    """Forwards nothing to and from a worker for a while."""
    forwarder = cell.worker_forwarders["zone-a-worker-0"]
    forwarder.set_mode("stall")
    done = wait_progress(load, duration_s)
    forwarder.set_mode("drop")
    forwarder.set_mode("pass")
    return f"done_while_silent={done} done_after={wait_progress(load, 6.0)}"


def stall_open_connections(cell, load, duration_s):
    """Stalls the open connections for good, while new ones work."""
    all_forwarders = [
        *cell.worker_forwarders.values(),
        *cell.platform_forwarders.values(),
    ]
    for forwarder in all_forwarders:
        forwarder.set_mode("stall_open")
    time.sleep(8.0)
    return f"done_after={wait_progress(load, duration_s)}"


def terminate(cell, load, duration_s):
    """Terminates an entry VM under load; no request may be interrupted."""
    del duration_s
    interrupted = load.interrupted
    process = cell.processes["zone-a-entry-0"]
    process.send_signal(signal.SIGTERM)
    status = process.wait(45)
    assert status == 0, f"exit status {status}"
    assert load.interrupted == interrupted, (
        f"{load.interrupted - interrupted} interrupted"
    )
    return f"interrupted=0 exit=0 done_after={wait_progress(load, 6.0)}"


CASES = {
    "owner_killed": kill_owner,
    "owner_paused": pause_owner,
    "platform_down": stop_platform,
    "commit_answer_lost": lose_commit_answer,
    "zone_cut_from_platform": disconnect_platform,
    "worker_silent": stall_worker,
    "connections_silenced": stall_open_connections,
    "sigterm": terminate,
}


def check_outcomes(cell, load):
    """Checks the outcomes against the runs of the workers.

    Returns:
        The number of requests by outcome, as text.
    """
    runs, overloads = cell.read_statistics()
    twice = [i for i in load.outcomes if runs[i] > 1]
    contradicted = [
        i for i, o in load.outcomes.items() if o == "not_run" and runs[i]
    ]
    assert not overloads, f"overloads={overloads}"
    assert not twice, f"ran twice: {twice[:3]}"
    assert not contradicted, f"not_run but ran: {contradicted[:3]}"
    assert not load.wrong_answers, f"wrong answers: {load.wrong_answers[:3]}"
    counts = collections.Counter(load.outcomes.values())
    return " ".join(f"{name}={count}" for name, count in sorted(counts.items()))


def run_case(name, duration_s):
    """Runs a case in a new cell and prints its result; returns if it passed."""
    with tempfile.TemporaryDirectory() as directory:
        cell = FaultCell(directory)
        load = None
        try:
            cell.start()
            load = LoadGenerator(cell)
            wait_progress(load, 3.0)
            details = CASES[name](cell, load, duration_s)
            load.stop()
            line, passed = f"{details} {check_outcomes(cell, load)}", True
        except Exception as error:
            line, passed = f"{type(error).__name__}: {error}", False
        finally:
            if load is not None:
                load.stop()
            cell.stop()
    print(f"fault={name} passed={passed} {line}", flush=True)
    return passed


def main():
    """Runs the cases named as arguments, or all; returns the exit status."""
    duration_s = 10.0
    names = sys.argv[1:] or list(CASES)
    failed = [name for name in names if not run_case(name, duration_s)]
    print(f"faults: cases={len(names)} failed={len(failed)}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
