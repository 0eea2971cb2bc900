"""The process of an entry VM: transports, threads and life cycle."""

from collections.abc import Callable
from concurrent import futures
import threading

from absl import logging

from persimmonpath import entry as entry_module
from persimmonpath import httpplatform
from persimmonpath import httpworkers
from persimmonpath import inventory
from persimmonpath import schedules
from persimmonpath import timers
from persimmonpath import workers
from persimmonpath_daemon import grpcpeers
from persimmonpath_daemon import instrumentation
from persimmonpath_daemon import settings as settings_module

PERIODIC_THREADS = 10
DRAIN_CHECK_S = 0.05


class Executors:
    """Thread pools of the process."""

    def __init__(self, threads: settings_module.ThreadSettings):
        """Creates pools of the sizes in the settings."""
        self.starts = futures.ThreadPoolExecutor(threads.starts, "start")
        self.control = futures.ThreadPoolExecutor(threads.control, "control")
        self.periodic = futures.ThreadPoolExecutor(PERIODIC_THREADS, "periodic")


def create_periodic_scheduler(
    timer_service: timers.TimerService, executor: futures.Executor
) -> entry_module.Repeat:
    """Returns a function that runs actions periodically on an executor.

    Calls to the platform may block for seconds, so they stay off the thread of
    the timer service. A run is skipped while the one before is in progress.
    """

    def repeat(
        period_s: float, action: Callable[[], None]
    ) -> timers.Subscription:
        in_progress = threading.Lock()
        is_conditional = isinstance(action, schedules.ConditionalAction)

        def run() -> None:
            try:
                action()
            except Exception:
                logging.exception("event=periodic_task_failed")
            finally:
                in_progress.release()

        def submit() -> None:
            if is_conditional and not action.is_due():
                return
            if in_progress.acquire(blocking=False):
                executor.submit(run)

        submit()
        return timer_service.subscribe(period_s, submit)

    return repeat


def create_entry(
    settings: settings_module.Settings,
    timer_service: timers.TimerService,
    executors: Executors,
    instruments: instrumentation.Instruments,
) -> entry_module.EntryVm:
    """Returns an entry VM over HTTP and gRPC, not started."""

    def create_client(worker: inventory.Worker) -> workers.WorkerClient:
        client = httpworkers.create_http_worker(
            str(worker.host), worker.port, executors.starts, executors.control
        )
        return instrumentation.InstrumentedWorker(client, instruments)

    table = httpplatform.HttpTable(
        str(settings.platform.url), settings.platform.timeout_s
    )

    identity = entry_module.create_identity(
        settings.vm, settings.zone, str(settings.peer), str(settings.http)
    )
    surroundings = entry_module.Surroundings(
        timers=timer_service,
        table=instrumentation.InstrumentedTable(table, instruments),
        peers=instrumentation.InstrumentedPeers(
            grpcpeers.create_peers(), instruments
        ),
        create_client=create_client,
        repeat=create_periodic_scheduler(timer_service, executors.periodic),
        machines=httpplatform.HttpMachines(
            str(settings.platform.url), settings.platform.timeout_s
        ),
        seeds=tuple(str(seed) for seed in settings.seeds),
    )
    entry = entry_module.EntryVm(identity, surroundings)
    instrumentation.add_entry_gauges(instruments.registry, entry)
    return entry


class CallCounter:
    """WSGI filter that counts calls in progress.

    Once the process is leaving, it asks callers to close their connections, so
    that none is idle, and about to be used again, when the server stops.
    """

    def __init__(self, application: Callable):
        """Creates a filter before an application."""
        self._application = application
        self._lock = threading.Lock()
        self._count = 0
        self._is_leaving = False

    def __call__(self, environ, start_response):
        """Passes a call on."""

        def start_with_close(status, headers, *extra):
            if self._is_leaving:
                headers = [*headers, ("Connection", "close")]
            return start_response(status, headers, *extra)

        with self._lock:
            self._count += 1
        try:
            return self._application(environ, start_with_close)
        finally:
            with self._lock:
                self._count -= 1

    def begin_leaving(self) -> None:
        """Closes each connection after its next answer."""
        self._is_leaving = True

    def count(self) -> int:
        """Returns the calls in progress."""
        return self._count


def shut_down(
    entry: entry_module.EntryVm,
    counter: CallCounter,
    notice_s: float,
    drain_s: float,
) -> None:
    """Hands the shards over and waits until nothing is in flight.

    Args:
        entry: The entry VM.
        counter: Counts the calls of callers.
        notice_s: Least time to go on accepting calls in seconds.
        drain_s: Longest time to wait in seconds.
    """
    started_at = entry.timers.now()
    entry.begin_leaving()
    counter.begin_leaving()
    never_set = threading.Event()
    while entry.timers.now() < started_at + drain_s:
        is_notice_over = entry.timers.now() >= started_at + notice_s
        if (
            is_notice_over
            and not counter.count()
            and not entry.count_in_flight()
        ):
            break
        never_set.wait(DRAIN_CHECK_S)
    logging.info(
        "event=drained vm=%s calls=%d in_flight=%d",
        entry.identity.vm,
        counter.count(),
        entry.count_in_flight(),
    )
    entry.finish_leaving()
