"""Stops attempts and resolves lost starts, a bounded number at a time."""

from collections.abc import Callable
import dataclasses

from returns import result

from persimmonpath import errors
from persimmonpath import fleet
from persimmonpath import workers

CONTROL_TIMEOUT_S = 3.0
# Calls in flight; a wave of cancellations must leave the threads that also
# renew the workers' leases free.
MAX_IN_FLIGHT = 16
# Time after which a call whose attempt has not ended is made again.
RETRY_S = 2.0


@dataclasses.dataclass(slots=True)
class _Command:
    worker: str
    actions: list[workers.Action]
    is_closing: bool = False
    is_in_flight: bool = False
    due: float = float("-inf")


class AttemptController:
    """Stops or closes attempts until it is certain that they have ended.

    Holds one order for each attempt, so no more than there are reservations.
    """

    def __init__(
        self,
        shard_fleet: fleet.Fleet,
        on_record: Callable[[str, workers.AttemptRecord], None],
    ):
        """Creates controls without orders.

        Args:
            shard_fleet: Workers of the shard.
            on_record: Called without the lock with each record that a worker
                returns for an order.
        """
        self._fleet = shard_fleet
        self._on_record = on_record
        self._commands: dict[str, _Command] = {}
        self._in_flight = 0
        self._is_driving = False

    def stop(
        self, name: str, attempt: str, with_checkpoint: bool = False
    ) -> None:
        """Orders a running attempt to be stopped; needs the lock."""
        if attempt in self._commands:
            return
        actions = [workers.Action.STOP]
        if with_checkpoint:
            actions.insert(0, workers.Action.CHECKPOINT)
        self._commands[attempt] = _Command(name, actions)

    def close(self, name: str, attempt: str) -> None:
        """Orders a start whose answer was lost to be resolved; needs the lock.

        A tombstone prevents the start if it has not happened.
        """
        if attempt not in self._commands:
            self._commands[attempt] = _Command(name, [], is_closing=True)

    def forget(self, attempt: str) -> None:
        """Drops the order of an attempt that has ended; needs the lock."""
        command = self._commands.pop(attempt, None)
        if command is not None and command.is_in_flight:
            self._in_flight -= 1

    def has_command(self, attempt: str) -> bool:
        """Returns whether an attempt is being stopped or closed."""
        return attempt in self._commands

    def count(self) -> int:
        """Returns the orders that are not carried out."""
        return len(self._commands)

    def drive(self) -> None:
        """Makes the calls that are due; must be called without the lock."""
        with self._fleet.lock:
            if self._is_driving:
                return
            self._is_driving = True
        # A reply that comes at once drives again; without this loop a wave of
        # them would exceed the recursion limit.
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
            # Orders that were tried go behind those that were not.
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
        """Returns whether the order is still to be carried out."""
        command.due = self._fleet.timers.now() + RETRY_S
        if isinstance(reply, result.Success):
            is_ended = reply.unwrap().state in workers.FINAL_STATES
            if is_ended or not command.actions:
                return False
            if command.is_closing:
                # It runs after all, so it can be stopped.
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
            # Only a tombstone makes it certain that it never runs.
            command.is_closing = True
            command.due = float("-inf")
        elif len(command.actions) > 1:
            # The stop must not wait for a checkpoint that does not come.
            del command.actions[0]
            command.due = float("-inf")
        return True
