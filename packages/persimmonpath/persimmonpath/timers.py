"""Clock and timers."""

import abc
from collections.abc import Callable
import heapq
import itertools
import threading
import time

from absl import logging

from persimmonpath import errors

Callback = Callable[[], None]


class Subscription:
    """A scheduled callback that can be cancelled.

    Attributes:
        callback: The callback.
        period_s: Seconds between calls; None for a single call.
        cancelled: Whether later calls are prevented.
    """

    def __init__(self, callback: Callback, period_s: float | None):
        self.callback = callback
        self.period_s = period_s
        self.cancelled = False

    def cancel(self) -> None:
        """Prevents all further calls of the callback."""
        self.cancelled = True


class TimerService(abc.ABC):
    """A monotonic clock with timers, the only source of time.

    Times are seconds from an arbitrary origin.
    """

    def __init__(self):
        self._queue: list[tuple[float, int, Subscription]] = []
        self._numbers = itertools.count()

    @abc.abstractmethod
    def now(self) -> float:
        """Returns the monotonic time in seconds."""

    @abc.abstractmethod
    def _push(self, due: float, subscription: Subscription) -> None:
        """Schedules a subscription for the time `due`."""

    def call_later(self, delay_s: float, callback: Callback) -> Subscription:
        """Calls a callback once after a delay; a negative one counts as 0."""
        subscription = Subscription(callback, None)
        self._push(self.now() + max(0.0, delay_s), subscription)
        return subscription

    def subscribe(self, period_s: float, callback: Callback) -> Subscription:
        """Calls a callback every `period_s` seconds, first after one period."""
        subscription = Subscription(callback, period_s)
        self._push(self.now() + period_s, subscription)
        return subscription

    def _run(self, due: float, subscription: Subscription) -> None:
        if subscription.cancelled:
            return
        if subscription.period_s is not None:
            # Missed periods are skipped, so that a paused process does not
            # run a burst of late callbacks when it resumes.
            next_due = max(due + subscription.period_s, self.now())
            self._push(next_due, subscription)
        subscription.callback()


class RealTimers(TimerService):
    """Timers on the system's monotonic clock, run by a dedicated thread.

    Exceptions of callbacks are logged, except for `InvariantError`.
    """

    def __init__(self, on_invariant_error: Callable[[BaseException], None]):
        """Starts the thread.

        Args:
            on_invariant_error: Called with an `InvariantError` that a callback
                raises.
        """
        super().__init__()
        self._on_invariant_error = on_invariant_error
        self._condition = threading.Condition()
        self._stopped = False
        self._thread = threading.Thread(
            target=self._run_until_stopped, name="timers", daemon=True
        )
        self._thread.start()

    def now(self) -> float:
        """Returns monotonic seconds."""
        return time.monotonic()

    def stop(self) -> None:
        """Stops the thread; no further callback starts."""
        with self._condition:
            self._stopped = True
            self._condition.notify()

    def _push(self, due: float, subscription: Subscription) -> None:
        with self._condition:
            entry = (due, next(self._numbers), subscription)
            heapq.heappush(self._queue, entry)
            self._condition.notify()

    def _wait_for_next(self) -> tuple[float, Subscription] | None:
        with self._condition:
            while not self._stopped:
                if not self._queue:
                    self._condition.wait()
                    continue
                due, _, subscription = self._queue[0]
                wait_s = due - time.monotonic()
                if wait_s <= 0:
                    heapq.heappop(self._queue)
                    return due, subscription
                self._condition.wait(wait_s)
        return None

    def _run_until_stopped(self) -> None:
        while (entry := self._wait_for_next()) is not None:
            try:
                self._run(*entry)
            except errors.InvariantError as error:
                self._on_invariant_error(error)
            except Exception:
                logging.exception("event=timer_callback_failed")


class ManualTimers(TimerService):
    """Timers whose clock only moves by `advance`, for tests."""

    def __init__(self):
        super().__init__()
        self._now = 0.0

    def now(self) -> float:
        """Returns the total number of seconds advanced."""
        return self._now

    def _push(self, due: float, subscription: Subscription) -> None:
        heapq.heappush(self._queue, (due, next(self._numbers), subscription))

    def advance(self, seconds: float) -> None:
        """Advances the clock and runs every callback that becomes due."""
        end = self._now + seconds
        while self._queue and self._queue[0][0] <= end:
            due, _, subscription = heapq.heappop(self._queue)
            self._now = max(self._now, due)
            self._run(due, subscription)
        self._now = end


def create_real_timers(
    on_invariant_error: Callable[[BaseException], None],
) -> TimerService:
    """Returns timers on the system's monotonic clock.

    Args:
        on_invariant_error: Called with an `InvariantError` that a callback
            raises.
    """
    return RealTimers(on_invariant_error)


def create_manual_timers() -> ManualTimers:
    """Returns timers with a clock that only moves by `advance`."""
    return ManualTimers()
