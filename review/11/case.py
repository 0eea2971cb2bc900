"""A worker has more than 500 ends when its service gets a new owner."""

import asyncio
import os
import pathlib
import signal
import sys

from review.stands_3 import deployment as deployments
from review.stands_3 import judge as judges
from review.stands_3 import worker as workers

SERVICE = "huvo11a"
PREFIX = "/lohu930/"
SUBMISSIONS = 24
TASKS = 100
WORKERS = 2
# Seconds for which each run works.
WORK_S = 7.0
ZONES = ["lower-station", "upper-station", "head-office"]
# Longest time until all submissions are shown as completed, in seconds.
LIMIT_S = 60.0
# When the owner freezes, in seconds before the first end, and for how long.
BEFORE_S = 0.1
FREEZE_S = 3.0
RECORD = pathlib.Path(__file__).with_name("record.txt")


def make_configuration():
    """Returns the desired state: one queue, without advice."""
    return {
        "version": 7,
        "routes": [
            {
                "name": "r-ji9n73h",
                "hostname": deployments.HOST,
                "pathPrefix": PREFIX,
                "kind": "non_idempotent",
                "timeoutMs": 3000,
                "targetLatencyMs": 3000,
                "priority": 2,
                "service": SERVICE,
                "maxAttempts": 4,
                "stretch": 4.0,
            }
        ],
        "services": [
            {
                "name": SERVICE,
                "healthPath": "/health",
                "maxConnections": 64,
                "rejectsOverload": False,
                "standby": False,
            }
        ],
        "limits": {"maxBodyBytes": 262144},
    }


def make_submission(number):
    """Returns the body of a submission of many small tasks."""
    return {
        "spec": f"spec {number}",
        "steps": [
            {
                "count": TASKS,
                "cpu": 20,
                "memMb": 32,
                "estimatedMs": int(WORK_S * 1000),
            }
        ],
    }


class Plan:
    """Has every twentieth task fail once, as for the class pass-check."""

    def __init__(self):
        """Starts without a run."""
        self._seen = set()

    def choose(self, task, run):
        """Returns the seconds that a run works, and how it ends."""
        is_first = task not in self._seen
        self._seen.add(task)
        has_failed = is_first and int(task.rpartition(".")[2]) % 20 == 0
        return WORK_S, "failed" if has_failed else "done"


async def submit(deployment, number):
    """Hands in a submission at any VM, again until it is accepted."""
    submission_id = f"{number + 1:016x}"
    for attempt in range(5):
        vm = deployment.vms[(number + attempt) % len(deployment.vms)]
        status, _ = await deployment.send(
            vm, "POST", PREFIX + submission_id, make_submission(number)
        )
        if status == 200:
            return submission_id
        await asyncio.sleep(0.5)
    return None


async def await_completed(deployment, ids):
    """Returns whether all submissions are shown as completed in time."""
    deadline = deployment.now() + LIMIT_S
    left = list(ids)
    while left and deployment.now() < deadline:
        vm = deployment.vms[len(left) % len(deployment.vms)]
        if vm.process.poll() is not None:
            vm = next(v for v in deployment.vms if v.process.poll() is None)
        status, content = await deployment.send(vm, "GET", PREFIX + left[-1])
        if status == 200 and b"completed" in content:
            left.pop()
        else:
            await asyncio.sleep(0.5)
    return not left


def wake(deployment, vm):
    """Lets a frozen VM go on."""
    deployment.record(f"{vm.name} wakes")
    vm.signal(signal.SIGCONT)


async def play(deployment, has_trouble):
    """Plays the case; returns its exit status."""
    judge = judges.Judge(deployment, Plan().choose)
    await deployment.open(make_configuration())
    for number in range(WORKERS):
        await deployment.add_worker(
            workers.Worker(
                f"i-7f3a91c{number}",
                SERVICE,
                ZONES[number % 3],
                {"cpu": 64000, "memMb": 131072, "gpu": 0},
                ["a", f"r1-{number}"],
                judge,
            )
        )
    deployment.add_vms(ZONES)
    if not await deployment.await_ready():
        return 2
    owner = await deployment.await_owner(SERVICE)
    if owner is None:
        return 2
    await asyncio.sleep(2.0)
    ids = await asyncio.gather(
        *(submit(deployment, number) for number in range(SUBMISSIONS))
    )
    if None in ids:
        return 2
    while len(judge.starts) < SUBMISSIONS * TASKS:
        if judge.ends:
            deployment.record(f"only {len(judge.starts)} starts so far")
            break
        await asyncio.sleep(0.01)
    first, last = judge.starts[0][0], judge.starts[-1][0]
    deployment.record(f"{len(judge.starts)} starts in {last - first:.2f} s")
    # Shortly before the first end.
    await asyncio.sleep(max(0.0, first + WORK_S - BEFORE_S - _read_time()))
    owner = deployment.find_owner(SERVICE)
    if has_trouble:
        deployment.record(f"{owner.name} freezes")
        owner.signal(signal.SIGSTOP)
        asyncio.get_running_loop().call_later(FREEZE_S, wake, deployment, owner)
        successor = await deployment.await_owner(SERVICE, owner)
        name = None if successor is None else successor.name
        deployment.record(f"{name} is the new owner")
    for worker in deployment.workers.values():
        deployment.record(f"{worker.id} lists {len(worker.ended)} ends")
    if not await await_completed(deployment, ids):
        deployment.record("not all submissions are completed")
    await asyncio.sleep(2.0)
    judge.check_done_again()
    again = len(judge.starts) - SUBMISSIONS * TASKS
    deployment.record(f"{again} starts more than tasks")
    return 1 if judge.broken else 0


def _read_time():
    return asyncio.get_running_loop().time()


async def main():
    """Plays the case and writes its record."""
    deployment = deployments.Deployment()
    status = 2
    try:
        status = await play(deployment, os.environ.get("TROUBLE") != "0")
    finally:
        deployment.record(f"exit status {status}")
        deployment.close(RECORD)
    return status


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
