"""A queue is removed and comes back while one of its submissions runs."""

import asyncio
import signal
import time

from review.common import harness

PREFIX = "/renewals/"
SERVICE = "ledger"
MAX_ATTEMPTS = 6
FAILURES = 4
RUN_S = 3.0
PATH = f"{PREFIX}00000000000000bb"
TASK = "00000000000000bb.0.0.0"
LIMIT_S = 30.0


def make_route(name, prefix):
    """Returns a route of the desired state."""
    return {
        "name": name,
        "hostname": harness.HOST,
        "pathPrefix": prefix,
        "service": SERVICE,
        "maxAttempts": MAX_ATTEMPTS,
        "stretch": 4.0,
        "targetLatencyMs": 3000,
        "priority": 2,
    }


async def play(deployment):
    """Plays the case; returns the texts of what was broken."""
    log = deployment.log

    def choose_end(worker, command):
        failed = sum(how == "failed" for _, _, how in log.ends[command["task"]])
        return RUN_S, "failed" if failed < FAILURES else "done"

    for number in range(3):
        deployment.add_worker(
            f"w{number}",
            SERVICE,
            {"cpu": 16000, "memMb": 32768, "gpu": 0},
            ["a", f"r{number}"],
            choose_end,
        )
    kept = make_route("slips", "/slips/")
    routes = [kept, make_route("renewals", PREFIX)]
    await deployment.configure(1, routes, [SERVICE])
    await deployment.start()
    body = {
        "spec": "renewal",
        "steps": [{"count": 1, "cpu": 500, "memMb": 100, "estimatedMs": 3000}],
    }
    status, _ = await deployment.call(deployment.vms[0], "POST", PATH, body)
    if status != 200:
        raise RuntimeError(f"the submission got {status}")
    began = time.monotonic()
    await asyncio.sleep(0.5)
    if harness.is_troubled():
        await deployment.configure(4, [kept], [SERVICE])
    await asyncio.sleep(3.0)
    owner = deployment.find_owner(SERVICE)
    log.write("SIGTERM", owner.name)
    code = await owner.end(signal.SIGTERM)
    log.write("ended", owner.name, code)
    owner.start()
    await asyncio.sleep(max(0.0, began + 11.0 - time.monotonic()))
    if harness.is_troubled():
        await deployment.configure(9, routes, [SERVICE])
    # configMs, after which the queue has to be there again.
    await asyncio.sleep(3.0)
    state = ""
    while time.monotonic() - began < LIMIT_S:
        state = await deployment.get_state(PATH)
        if state in ("failed", "completed", "cancelled"):
            break
        await asyncio.sleep(0.5)
    failed = sum(how == "failed" for _, _, how in log.ends[TASK])
    if state == "failed" and failed < MAX_ATTEMPTS:
        return [
            f"LOST: shown as failed after {failed} failed runs of "
            f"{MAX_ATTEMPTS}; nobody has cancelled it"
        ]
    if state != "completed":
        # The rule says nothing of a submission that is only slow.
        raise RuntimeError(f"its state is {state} after {LIMIT_S} s")
    return []


if __name__ == "__main__":
    harness.run_case(__file__, play)
