"""Stops attempts and settles unanswered starts, with bounded concurrency."""

from collections.abc import Callable
import dataclasses

from returns import result

from persimmonpath import errors
from persimmonpath import fleet
from persimmonpath import workers

CONTROL_TIMEOUT_S = 3.0
# Calls in flight. The same threads renew the leases of the workers, so many
# cancellations at once must not occupy all of them.
MAX_IN_FLIGHT = 16
# Interval between calls for an attempt that has not ended.
RETRY_S = 2.0


@dataclasses.dataclass(slots=True)
class _Command:
    """Calls still to be made for one attempt.

    Attributes:
        worker: Name of the worker.
        actions: Actions to send, in order.
        is_closing: Whether to close the attempt instead.
        is_in_flight: Whether a call awaits its reply.
        due: Time before which no call is made.
    """

    worker: str
    actions: list[workers.Action]
    is_closing: bool = False
    is_in_flight: bool = False
    due: float = float("-inf")


class AttemptController:
    """Stops or closes attempts and retries until they have certainly ended.

    There is one command per attempt, so their number is bounded by that of the
    reservations.
    """

    def __init__(
        self,
        shard_fleet: fleet.Fleet,
        on_record: Callable[[str, workers.AttemptRecord], None],
    ):
        """Creates a controller without commands.

        Args:
            shard_fleet: Workers of the shard.
            on_record: Called, without the lock of the fleet held, with the
                worker's name and each record that it returns.
        """
        self._fleet = shard_fleet
        self._on_record = on_record
        self._commands: dict[str, _Command] = {}
        self._in_flight = 0
        self._is_driving = False

    def stop(
        self, name: str, attempt: str, with_checkpoint: bool = False
    ) -> None:
        """Adds a command to stop a running attempt.

        The caller must hold the lock of the fleet.

        Args:
            name: Name of the worker.
            attempt: Id of the attempt.
            with_checkpoint: Whether to request a checkpoint first.
        """
        if attempt in self._commands:
            return
        actions = [workers.Action.STOP]
        if with_checkpoint:
            actions.insert(0, workers.Action.CHECKPOINT)
        self._commands[attempt] = _Command(name, actions)

    def close(self, name: str, attempt: str) -> None:
        """Adds a command to close an attempt whose start was not answered.

        The worker stores a tombstone, which prevents a start that arrives
        later. The caller must hold the lock of the fleet.

        Args:
            name: Name of the worker.
            attempt: Id of the attempt.
        """
        if attempt not in self._commands:
            self._commands[attempt] = _Command(name, [], is_closing=True)

    def forget(self, attempt: str) -> None:
        """Removes the command of an attempt that has ended, if there is one.

        The caller must hold the lock of the fleet.
        """
        command = self._commands.pop(attempt, None)
        if command is not None and command.is_in_flight:
            self._in_flight -= 1

    def has_command(self, attempt: str) -> bool:
        """Returns whether an attempt is being stopped or closed."""
        return attempt in self._commands

    def count(self) -> int:
        """Returns the number of unfinished commands."""
        return len(self._commands)

    def drive(self) -> None:
        """Makes the calls that are due.

        The caller must not hold the lock of the fleet.
        """
        with self._fleet.lock:
            if self._is_driving:
                return
            self._is_driving = True
        # A synchronous reply calls `drive` again, which returns above. Without
        # this loop many such replies would exceed the recursion limit.
        while (due_command := self._reserve_next()) is not None:
            self._call(*due_command)

    def _reserve_next(self) -> tuple[str, _Command] | None:
        now = self._fleet.timers.now()
        with self._fleet.lock:
            if self._in_flight < MAX_IN_FLIGHT:
                for attempt, command in self._commands.items():
                    if not command.is_in_flight and command.due <= now:
                        command.is_in_flight = True
                        self._in_flight += 1
                        return attempt, command
            self._is_driving = False
            return None

    def _call(self, attempt: str, command: _Command) -> None:
        client = self._fleet.get_client(command.worker)
        epoch = self._fleet.epoch
        if command.is_closing:
            future = client.close(attempt, epoch, CONTROL_TIMEOUT_S)
        else:
            future = client.control(
                attempt, command.actions[0], epoch, CONTROL_TIMEOUT_S
            )
        future.add_done_callback(
            lambda f: self._handle_reply(attempt, command, f.result())
        )

    def _handle_reply(
        self, attempt: str, command: _Command, reply: result.Result
    ) -> None:
        with self._fleet.lock:
            if self._commands.get(attempt) is not command:
                return
            command.is_in_flight = False
            self._in_flight -= 1
            # Commands that were tried move behind those that were not.
            del self._commands[attempt]
            is_unfinished = self._needs_another_call(attempt, command, reply)
            if is_unfinished:
                self._commands[attempt] = command
        if isinstance(reply, result.Success):
            self._on_record(command.worker, reply.unwrap())
        self.drive()

    def _needs_another_call(
        self, attempt: str, command: _Command, reply: result.Result
    ) -> bool:
        """Updates a command after a reply; returns whether it is unfinished."""
        command.due = self._fleet.timers.now() + RETRY_S
        if isinstance(reply, result.Success):
            is_ended = reply.unwrap().state in workers.FINAL_STATES
            if is_ended or not command.actions:
                return False
            if command.is_closing:
                # The attempt was started, so it can be stopped.
                command.is_closing = False
                command.due = float("-inf")
            elif len(command.actions) > 1:
                del command.actions[0]
                command.due = float("-inf")
            return True
        error = reply.failure()
        if isinstance(error, errors.StaleEpochError):
            self._fleet.mark_fenced()
            return False
        if isinstance(error, errors.UnknownAttemptError):
            # Only a tombstone ensures that the attempt never runs.
            command.is_closing = True
            command.due = float("-inf")
        elif len(command.actions) > 1:
            # A failed checkpoint must not delay the stop.
            del command.actions[0]
            command.due = float("-inf")
        return True
