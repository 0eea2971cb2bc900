"""Deterministic checks of mechanisms that the soak rarely exercises.

Each raises `ViolationError` when its mechanism is switched off.
"""

import dataclasses
import json

from persimmonpath import configuration
from persimmonpath import identifiers
from persimmonpath import jobsubmission
from persimmonpath import memoryworkers
from persimmonpath import outcomes
from persimmonpath import requestrecords
from persimmonpath import resources
from persimmonpath import router as router_module
from persimmonpath import work
from tests import fakes
from tests import invariantchecks

SHARD = identifiers.ShardId("zone-a", 0)
SIZE = resources.Resources(100, 64, 0)


def check_eviction():
    """Checks that an id whose record was evicted is not run again."""
    records = requestrecords.RequestRecords(SHARD, 2, max_entries=2)
    ids = records.issue(4)
    for request_id in ids:
        records.admit(request_id, "digest")
        records.finish(request_id, outcomes.Done(b"", "worker"))
    status = records.admit(ids[0], "digest")
    invariantchecks.expect(
        status is requestrecords.IdStatus.UNCERTAIN,
        "evicted_runs_again",
        status,
    )


def check_config_version():
    """Checks that a lower configuration version is ignored if it comes late."""
    applied = configuration.AppliedConfiguration()
    for version in (2, 1):
        applied.apply(dataclasses.replace(configuration.EMPTY, version=version))
    version = applied.config.version
    invariantchecks.expect(version == 2, "config_back", version)


def check_drain():
    """Checks that a draining worker gets no new work."""
    cell = fakes.FakeCell()
    for name in ("drained", "open"):
        cell.add_worker(name)
    entry = cell.add_entry("vm")
    cell.timers.advance(1.0)
    cell.import_inventory(shards=1, draining=("drained",))
    cell.timers.advance(8.0)
    router = router_module.create_router(entry, 1)
    for number in range(10):
        request = work.Request(
            "kind", "team", True, SIZE, str(number).encode(), 4.0
        )
        router.run("", request)
    cell.timers.advance(5.0)
    runs = {n: sum(w.runs.values()) for n, w in cell.workers.items()}
    invariantchecks.expect(
        runs == {"drained": 0, "open": 10}, "drained_got_work", runs
    )


def check_gang():
    """Checks that a gang that does not fit as a whole starts no task."""
    cell = fakes.FakeCell()
    cell.add_worker("only", lambda start: memoryworkers.Plan(None, True))
    entry = cell.add_entry("vm")
    cell.timers.advance(1.0)
    cell.import_inventory(shards=1)
    cell.timers.advance(8.0)
    for name, tasks in (("too-large", 9), ("fits", 4)):
        job = work.GangJob(
            name, "kind", "team", tasks, SIZE, json.dumps({}).encode()
        )
        jobsubmission.JobSubmitter(entry).submit(job, name)
        cell.timers.advance(10.0)
        started = sum(
            task.startswith(f"{name}/") for task in cell.workers["only"].runs
        )
        expected = tasks if name == "fits" else 0
        invariantchecks.expect(
            started == expected, "gang_in_part", name, started
        )


def _create_service_cell():
    """Returns a cell whose only shard runs a service of 4 tasks.

    It has two entry VMs and two workers.
    """
    cell = fakes.FakeCell()
    for name in ("one", "two"):
        cell.add_worker(name, lambda start: memoryworkers.Plan(None, True))
    for name in ("first", "second"):
        cell.add_entry(name)
    cell.timers.advance(1.0)
    cell.import_inventory(shards=1)
    cell.timers.advance(8.0)
    job = work.ServiceJob(
        "service", "kind", "team", 4, SIZE, json.dumps({}).encode()
    )
    jobsubmission.JobSubmitter(cell.entries["first"]).submit(job, "nonce")
    cell.timers.advance(10.0)
    return cell


def _expect_single_runs(cell):
    """Checks that no task has two running attempts."""
    running = [
        identifiers.split_attempt(attempt)[0]
        for worker in cell.workers.values()
        for attempt in worker.list_running()
    ]
    invariantchecks.expect(
        len(running) == len(set(running)), "task_runs_twice", sorted(running)
    )


def check_takeover_listing():
    """Checks that a new owner does not restart the tasks that still run."""
    cell = _create_service_cell()
    (owner,) = cell.list_owners()[SHARD]
    cell.pause(owner)
    for _ in range(60):
        cell.timers.advance(1.0)
        _expect_single_runs(cell)


def check_owner_lease():
    """Checks that an unreachable worker stops its tasks before a restart."""
    cell = _create_service_cell()
    for name in cell.entries:
        cell.disconnect_workers(name, ["one"])
    for _ in range(60):
        cell.timers.advance(1.0)
        _expect_single_runs(cell)
    running = cell.workers["two"].list_running()
    invariantchecks.expect(len(running) == 4, "not_started_elsewhere", running)
