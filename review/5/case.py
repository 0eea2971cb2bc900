"""Asks for the count of waiting submissions while a worker rejects starts."""

import asyncio
import random
import time

from review.common import harness

PREFIX = "/slips/"
SERVICE = "ledger"
WORKERS = 12
GREY = "w11"
SUBMISSIONS = 20
FAULT_S = 6.5
# visible_ms and 2 s, after which a submission that hasn't begun has to count.
COUNTED_AFTER_S = 5.0
ROUTE = {
    "name": "slips",
    "hostname": harness.HOST,
    "pathPrefix": PREFIX,
    "service": SERVICE,
    "maxAttempts": 4,
    "stretch": 4.0,
    "targetLatencyMs": 3000,
    "priority": 1,
}
BODY = {
    "spec": "slip",
    "steps": [
        {
            "count": 1,
            "cpu": 500,
            "memMb": 100,
            "estimatedMs": 500,
            "requirements": "b",
        }
    ],
}


async def ask(deployment, accepted, began):
    """Asks each VM for the count; returns what was broken."""
    broken = []
    for vm in deployment.vms:
        now = time.monotonic()
        due = [
            submission_id
            for submission_id, at in accepted.items()
            if now - at > COUNTED_AFTER_S
        ]
        status, body = await deployment.call(vm, "GET", PREFIX)
        # Counted after the answer, so that those that began meanwhile are out.
        due = [i for i in due if f"{i}.0.0.0" not in deployment.log.starts]
        if status == 200 and body["waiting"] < len(due) / 2:
            broken.append(
                f"MIXED: {vm.name} gives {body['waiting']} as waiting, "
                f"{now - began:.1f} s into the fault; {len(due)} submissions "
                f"were accepted over {COUNTED_AFTER_S} s before and haven't "
                "begun"
            )
    return broken


async def play(deployment):
    """Plays the case; returns the texts of what was broken."""
    for number in range(WORKERS):
        worker_id = f"w{number}"
        deployment.add_worker(
            worker_id,
            SERVICE,
            {"cpu": 16000, "memMb": 32768, "gpu": 0},
            ["b" if worker_id == GREY else "a", f"r{number}"],
            lambda worker, command: (0.5, "done"),
        )
    await deployment.configure(1, [ROUTE], [SERVICE])
    await deployment.start()
    grey = deployment.workers[GREY]
    if harness.is_troubled():
        grey.refused_status = 503
    deployment.log.write("fault begins")
    began = time.monotonic()
    accepted = {}
    draw = random.Random(5)
    for number in range(SUBMISSIONS):
        submission_id = f"{draw.getrandbits(64):016x}"
        vm = deployment.vms[number % len(deployment.vms)]
        path = PREFIX + submission_id
        status, _ = await deployment.call(vm, "POST", path, BODY)
        if status == 200:
            accepted[submission_id] = time.monotonic()
    broken = []
    while time.monotonic() - began < FAULT_S:
        broken += await ask(deployment, accepted, began)
        await asyncio.sleep(0.2)
    grey.refused_status = None
    deployment.log.write("fault ends", grey.refused, "starts were rejected")
    await asyncio.sleep(4.0)
    for submission_id in accepted:
        state = await deployment.get_state(PREFIX + submission_id)
        if state != "completed":
            deployment.log.write("not completed", submission_id, state)
    return broken


if __name__ == "__main__":
    harness.run_case(__file__, play)
