"""Cancels submissions of which the store has not answered the transaction."""

import asyncio
import random
import time

from review.common import harness

PREFIX = "/sync/"
SUBMISSIONS = 80
PAUSE_S = 0.05
# The store's fault, with the largest dose of the site file.
FAULT_S = 4.5
LATE_SHARE = 0.35
LATE_S = (1.0, 6.0)
CONTACT_S = 3.0
CANCEL_S = 3.0
STOP_S = 0.4
ROUTE = {
    "name": "sync",
    "hostname": harness.HOST,
    "pathPrefix": PREFIX,
    "service": "ledger",
    "maxAttempts": 4,
    "stretch": 2.2,
    "targetLatencyMs": 2500,
    "priority": 1,
}
BODY = {
    "spec": "standing sync",
    "steps": [
        {"count": 1, "cpu": 100, "memMb": 100, "longRunning": True},
    ],
}


async def cancel(deployment, number, path):
    """Cancels a submission, at each VM in turn; returns the final answer."""
    for attempt in range(6):
        vm = deployment.vms[(number + attempt) % len(deployment.vms)]
        status, _ = await deployment.call(vm, "DELETE", path)
        if status in (200, 410):
            return status
        await asyncio.sleep(0.2)
    return 0


async def use(deployment, number, submission_id, answers):
    """Hands a submission in and cancels it once that call is over."""
    path = PREFIX + submission_id
    vm = deployment.vms[number % len(deployment.vms)]
    posted, _ = await deployment.call(vm, "POST", path, BODY)
    cancelled = await cancel(deployment, number + 1, path)
    answers[submission_id] = (posted, cancelled, time.monotonic())


async def play(deployment):
    """Plays the case; returns the texts of what was broken."""
    for number in range(3):
        deployment.add_worker(
            f"w{number}",
            "ledger",
            {"cpu": 16000, "memMb": 32768, "gpu": 0},
            ["a", f"r{number}"],
            lambda worker, command: None,
        )
    await deployment.configure(1, [ROUTE], ["ledger"])
    await deployment.start()
    store = deployment.store
    if harness.is_troubled():
        store.late_share, store.late_s = LATE_SHARE, LATE_S
    answers = {}
    calls = []
    faulty_until = time.monotonic() + FAULT_S
    draw = random.Random(24)
    for number in range(SUBMISSIONS):
        submission_id = f"{draw.getrandbits(64):016x}"
        calls.append(
            asyncio.create_task(use(deployment, number, submission_id, answers))
        )
        await asyncio.sleep(PAUSE_S)
    await asyncio.sleep(max(0.0, faulty_until - time.monotonic()))
    store.late_share = 0.0
    deployment.log.write("the store answers again")
    await asyncio.gather(*calls)
    # The last late transaction, and contactMs after it, are over by then.
    await asyncio.sleep(LATE_S[1] + 2 * CONTACT_S + CANCEL_S + STOP_S)
    return await judge(deployment, answers)


async def judge(deployment, answers):
    """Returns what runs of submissions whose cancel was acknowledged."""
    broken = []
    now = time.monotonic()
    for worker in deployment.workers.values():
        for task, run in worker.running:
            submission_id = task.partition(".")[0]
            posted, cancelled, at = answers[submission_id]
            if not cancelled or now - at < CANCEL_S + STOP_S:
                continue
            state = await deployment.get_state(PREFIX + submission_id)
            broken.append(
                f"UNASKED: {task} run {run} is at work at {worker.id} "
                f"{now - at:.1f} s after its cancel was answered {cancelled} "
                f"(POST: {posted or 'no answer'}); its state is {state}"
            )
    deployment.log.write(
        "POST and DELETE answers",
        sorted({(p, c) for p, c, _ in answers.values()}),
    )
    return broken


if __name__ == "__main__":
    harness.run_case(__file__, play)
