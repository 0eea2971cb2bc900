"""Hands in a schedule whose progress outgrows a row of the store."""

import asyncio
import random
import time

from review.common import harness

SCHEDULED_PREFIX = "/scheduled/"
SLIP_PREFIX = "/slips/"
# Without the disruption the same schedule has fewer occurrences.
OCCURRENCES = 1400
FEW_OCCURRENCES = 200
INTERVAL_MS = 40
STEPS = 5
SCHEDULED_ID = "00000000000000aa"
SLIP_PAUSE_S = 0.5
TRAFFIC_S = 75.0
# finish_s, and the time for which a submission may have nothing running.
FINISH_S = 14.0
IDLE_S = 3.0
SHOWN_STATES = 5
TASK_S = 0.05
WORKER_CPU = 16000


def make_route(name, prefix, priority):
    """Returns a route of the desired state."""
    return {
        "name": name,
        "hostname": harness.HOST,
        "pathPrefix": prefix,
        "service": "ledger",
        "maxAttempts": 4,
        "stretch": 4.0,
        "targetLatencyMs": 3000,
        "priority": priority,
    }


async def hand_in(deployment, number, slips):
    """Hands a slip in, until it is accepted."""
    path = f"{SLIP_PREFIX}{random.Random(number).getrandbits(64):016x}"
    body = {
        "spec": "slip",
        "steps": [
            {"count": 1, "cpu": 500, "memMb": 100, "estimatedMs": 50},
            {
                "count": 1,
                "cpu": 500,
                "memMb": 100,
                "estimatedMs": 50,
                "after": [0],
            },
        ],
    }
    for attempt in range(5):
        vm = deployment.vms[(number + attempt) % len(deployment.vms)]
        status, _ = await deployment.call(vm, "POST", path, body)
        if status == 200:
            slips[path] = time.monotonic()
            return
        await asyncio.sleep(0.3)


async def watch_load(deployment, loads):
    """Records the share of the service's capacity that is in use."""
    while True:
        used = sum(len(w.running) for w in deployment.workers.values()) * 500
        total = WORKER_CPU * len(deployment.workers)
        loads.append((time.monotonic(), used / total))
        await asyncio.sleep(0.05)


async def play(deployment):
    """Plays the case; returns the texts of what was broken."""
    for number in range(4):
        deployment.add_worker(
            f"w{number}",
            "ledger",
            {"cpu": WORKER_CPU, "memMb": 32768, "gpu": 0},
            ["a", f"r{number}"],
            lambda worker, command: (TASK_S, "done"),
        )
    routes = [
        make_route("scheduled", SCHEDULED_PREFIX, 2),
        make_route("slips", SLIP_PREFIX, 0),
    ]
    await deployment.configure(1, routes, ["ledger"])
    await deployment.start()
    loads = []
    watching = asyncio.create_task(watch_load(deployment, loads))
    step = {"count": 1, "cpu": 100, "memMb": 50, "estimatedMs": 50}
    body = {
        "spec": "every 40 ms",
        "steps": [step] * STEPS,
        "startTimeMs": int(time.time() * 1000),
        "intervalMs": INTERVAL_MS,
        "runCount": OCCURRENCES if harness.is_troubled() else FEW_OCCURRENCES,
    }
    scheduled = f"{SCHEDULED_PREFIX}{SCHEDULED_ID}"
    status, _ = await deployment.call(
        deployment.vms[0], "POST", scheduled, body
    )
    if status != 200:
        raise RuntimeError(f"the scheduled submission got {status}")
    slips, calls = {}, []
    deadline = time.monotonic() + TRAFFIC_S
    while time.monotonic() < deadline:
        calls.append(
            asyncio.create_task(hand_in(deployment, len(calls), slips))
        )
        await asyncio.sleep(SLIP_PAUSE_S)
    await asyncio.gather(*calls)
    await asyncio.sleep(FINISH_S)
    watching.cancel()
    return await judge(deployment, slips, loads)


async def judge(deployment, slips, loads):
    """Returns the accepted slips that are lost, by the rule LOST.

    It is called FINISH_S after the end of the traffic. A slip counts if none of
    its tasks has ever started.
    """
    broken = []
    now = time.monotonic()
    used = max(u for at, u in loads if now - at <= IDLE_S)
    for path, accepted_at in slips.items():
        submission_id = path.removeprefix(SLIP_PREFIX)
        waited_s = now - accepted_at
        has_begun = f"{submission_id}.0.0.0" in deployment.log.starts
        if has_begun or waited_s <= IDLE_S or used >= 0.5:
            continue
        # The states of a few show what callers are told.
        state = ""
        if len(broken) < SHOWN_STATES:
            state = await deployment.get_state(path)
        broken.append(
            f"LOST: {submission_id} has never had anything running, "
            f"{waited_s:.1f} s after its 2xx; in the last {IDLE_S} s "
            f"{used:.2f} of the capacity was in use at most {state}"
        )
    stored = deployment.store.read_value("progress", "ledger", SCHEDULED_ID)
    steps = len(stored["done"]) if stored else 0
    deployment.log.write("steps of the schedule stored as done", steps)
    deployment.log.write("slips", len(slips))
    deployment.log.write(
        "refused by the store", len(deployment.store.refused_rows)
    )
    for text in deployment.store.refused_rows[:3]:
        deployment.log.write("refused by the store", text)
    return broken


if __name__ == "__main__":
    harness.run_case(__file__, play)
