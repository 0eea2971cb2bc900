"""Assembly of an entry VM process: transports, threads and shutdown."""

from collections.abc import Callable
from concurrent import futures
import threading

from absl import logging

from persimmonpath import entry as entry_module
from persimmonpath import httpplatform
from persimmonpath import httpworkers
from persimmonpath import inventory
from persimmonpath import periodicactions
from persimmonpath import timers
from persimmonpath import workers
from persimmonpath_daemon import grpcpeers
from persimmonpath_daemon import instrumentation
from persimmonpath_daemon import settings as settings_module

PERIODIC_THREADS = 10
DRAIN_CHECK_S = 0.05


class Executors:
    """Thread pools of the process.

    Attributes:
        starts: Calls that start work on workers.
        control: Other calls to workers.
        periodic: Periodic actions.
    """

    def __init__(self, threads: settings_module.ThreadSettings):
        """Creates the pools with the sizes from the settings."""
        self.starts = futures.ThreadPoolExecutor(threads.starts, "start")
        self.control = futures.ThreadPoolExecutor(threads.control, "control")
        self.periodic = futures.ThreadPoolExecutor(PERIODIC_THREADS, "periodic")


def create_periodic_scheduler(
    timer_service: timers.TimerService, executor: futures.Executor
) -> entry_module.Repeat:
    """Returns a function that schedules periodic actions on an executor.

    Actions do not run on the thread of the timer service, because calls to the
    platform may block for seconds. A run is skipped while the previous one is
    in progress.
    """

    def repeat(
        period_s: float, action: Callable[[], None]
    ) -> timers.Subscription:
        in_progress = threading.Lock()
        is_conditional = isinstance(action, periodicactions.ConditionalAction)

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
    """Returns an entry VM with HTTP and gRPC transports, not started."""

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
        machines=httpplatform.HttpMachineList(
            str(settings.platform.url), settings.platform.timeout_s
        ),
        seeds=tuple(str(seed) for seed in settings.seeds),
    )
    entry = entry_module.EntryVm(identity, surroundings)
    instrumentation.add_entry_gauges(instruments.registry, entry)
    return entry


class CallCounter:
    """WSGI middleware that counts calls in progress.

    During shutdown it adds `Connection: close` to each reply, so that no
    caller reuses an idle connection just as the server stops.
    """

    def __init__(self, application: Callable):
        """Wraps a WSGI application."""
        self._application = application
        self._lock = threading.Lock()
        self._count = 0
        self._is_leaving = False

    def __call__(self, environ, start_response):
        """Forwards a call to the application."""

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
        """Closes each connection after its next reply from now on."""
        self._is_leaving = True

    def count(self) -> int:
        """Returns the number of calls in progress."""
        return self._count


def shut_down(
    entry: entry_module.EntryVm,
    counter: CallCounter,
    notice_s: float,
    drain_s: float,
) -> None:
    """Shuts an entry VM down gracefully.

    Transfers the shards to other entry VMs and waits until no call and no
    request is in flight.

    Args:
        entry: The entry VM.
        counter: Counts the calls in progress.
        notice_s: Minimum time to keep accepting calls in seconds.
        drain_s: Maximum time to wait in seconds.
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
