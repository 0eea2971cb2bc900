"""The process of an entry VM: transports, threads and life cycle."""

from collections.abc import Callable
from concurrent import futures
import threading

from absl import logging

from persimmonpath import entry as entry_module
from persimmonpath import httpplatform
from persimmonpath import httpworkers
from persimmonpath import inventory
from persimmonpath import timers
from persimmonpath import workers
from persimmonpath_daemon import grpcpeers
from persimmonpath_daemon import observation
from persimmonpath_daemon import settings as settings_module

PERIODIC_THREADS = 8
DRAIN_CHECK_S = 0.05


class Executors:
    """Thread pools of the process."""

    def __init__(self, threads: settings_module.ThreadSettings):
        """Creates pools of the sizes in the settings."""
        self.starts = futures.ThreadPoolExecutor(threads.starts, "start")
        self.control = futures.ThreadPoolExecutor(threads.control, "control")
        self.periodic = futures.ThreadPoolExecutor(PERIODIC_THREADS, "periodic")


def create_repeat(
    timer_service: timers.TimerService, executor: futures.Executor
) -> entry_module.Repeat:
    """Returns a function that runs actions periodically on an executor.

    Calls to the platform may block for seconds, so they stay off the thread of
    the timer service. A run is skipped while the one before is in progress.
    """

    def repeat(
        period_s: float, action: Callable[[], None]
    ) -> timers.Subscription:
        busy = threading.Lock()

        def run() -> None:
            try:
                action()
            except Exception:
                logging.exception("event=periodic_task_failed")
            finally:
                busy.release()

        def submit() -> None:
            if busy.acquire(blocking=False):
                executor.submit(run)

        submit()
        return timer_service.subscribe(period_s, submit)

    return repeat


def create_entry(
    settings: settings_module.Settings,
    timer_service: timers.TimerService,
    executors: Executors,
    instruments: observation.Instruments,
) -> entry_module.EntryVm:
    """Returns an entry VM over HTTP and gRPC, not started."""

    def create_client(worker: inventory.Worker) -> workers.WorkerClient:
        client = httpworkers.create_http_worker(
            str(worker.host), worker.port, executors.starts, executors.control
        )
        return observation.ObservedWorker(client, instruments)

    table = httpplatform.HttpTable(
        str(settings.platform.url), settings.platform.timeout_s
    )

    identity = entry_module.create_identity(
        settings.vm, settings.zone, str(settings.peer), str(settings.http)
    )
    surroundings = entry_module.Surroundings(
        timers=timer_service,
        table=observation.ObservedTable(table, instruments),
        peers=observation.ObservedPeers(grpcpeers.create_peers(), instruments),
        create_client=create_client,
        repeat=create_repeat(timer_service, executors.periodic),
    )
    entry = entry_module.EntryVm(identity, surroundings)
    observation.add_entry_gauges(instruments.registry, entry)
    return entry


def leave(entry: entry_module.EntryVm, drain_s: float) -> None:
    """Waits until no request is in flight and gives the shards up.

    Args:
        entry: The entry VM.
        drain_s: Longest time to wait in seconds.
    """
    entry.begin_leaving()
    deadline = entry.timers.now() + drain_s
    pause = threading.Event()
    while entry.timers.now() < deadline and entry.count_in_flight():
        pause.wait(DRAIN_CHECK_S)
    entry.finish_leaving()
