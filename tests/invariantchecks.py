"""Checks what callers were told against what the workers ran."""

import collections
import json
import logging

from persimmonpath import acceptance
from persimmonpath import identifiers
from persimmonpath import jobs
from persimmonpath import memoryworkers
from persimmonpath import outcomes
from persimmonpath import wire
from tests import soakcells

# Number of violations by invariant, for invariants whose violation does not end
# the run. `--pass-over` adds cases of KNOWN-RED.txt, to find violations behind
# them.
passed_over: dict[str, int] = {}


class ViolationError(AssertionError):
    """An invariant is violated."""


def expect(condition, name, *details):
    """Checks an invariant.

    Args:
        condition: Whether the invariant holds.
        name: Name of the invariant.
        *details: Values for the message.

    Raises:
        ViolationError: If it doesn't hold and is not passed over.
    """
    if not condition and name in passed_over:
        passed_over[name] += 1
    elif not condition:
        raise ViolationError(
            " ".join([f"invariant={name}", *map(str, details)])
        )


class _CallbackErrors(logging.Handler):
    """Collects exceptions of future callbacks, which are only logged."""

    def __init__(self):
        super().__init__()
        self.found = []

    def emit(self, record):
        self.found.append(self.format(record))


class InvariantChecker:
    """Records starts and replies in a cell, and checks the invariants.

    A violation inside of a callback is kept and raised by the next `check`.

    Attributes:
        cell: The cell.
        failing_workers: Names of workers whose attempts all fail.
        starts: Number of starts by request id or task id.
        requests: Request by id.
        reused_ids: Ids that a caller sent with two contents.
        final_outcomes: First final outcome by id.
        jobs: Accepted jobs by id.
        outcome_counts: Number of replies by outcome name.
    """

    def __init__(self, seed):
        self.cell = soakcells.SoakCell(seed, self.plan)
        self.failing_workers = set()
        self.starts = collections.Counter()
        self.requests = {}
        self.reused_ids = set()
        self.final_outcomes = {}
        self.jobs = {}
        self.outcome_counts = collections.Counter()
        self._errors = _CallbackErrors()
        self._logger = logging.getLogger("concurrent.futures")
        self._logger.addHandler(self._errors)
        self._logger.propagate = False
        self._first_violation = None

    def close(self):
        """Stops collecting callback exceptions."""
        self._logger.removeHandler(self._errors)

    def plan(self, worker, start):
        """Returns the plan of an attempt, after checking that it may start."""
        task_id, _ = identifiers.split_attempt(start.attempt)
        try:
            self._check_start(worker, task_id, start)
        except ViolationError as violation:
            self._first_violation = self._first_violation or violation
        self.starts[task_id] += 1
        if worker in self.failing_workers:
            return memoryworkers.Plan(0.001, False, b"", "broken worker")
        fields = json.loads(start.payload)
        return memoryworkers.Plan(
            fields["run_s"],
            not fields.get("fails", False),
            create_expected_answer(start.payload),
            "task failed",
        )

    def record_reply(self, request, answer):
        """Records and checks a reply to a caller.

        Args:
            request: Request of the caller, None if it queried an outcome.
            answer: Request id and outcome.
        """
        outcome = answer.outcome
        self.outcome_counts[outcomes.get_outcome_name(outcome)] += 1
        if answer.id and request is not None:
            self.requests.setdefault(answer.id, request)
        try:
            self._check_answer(request, answer.id, outcome)
        except ViolationError as violation:
            self._first_violation = self._first_violation or violation

    def record_id_reuse(self, request_id):
        """Records that an id was rejected because its content differs."""
        self.outcome_counts["id_reused"] += 1
        try:
            expect(request_id in self.reused_ids, "not_reused", request_id)
        except ViolationError as violation:
            self._first_violation = self._first_violation or violation

    def _check_answer(self, request, request_id, outcome):
        if isinstance(outcome, outcomes.Unknown) or not request_id:
            return
        started = self.starts[request_id]
        if isinstance(outcome, outcomes.NotRun):
            expect(not started, "not_run_ran", request_id, outcome)
        else:
            expect(started, "answered_without_run", request_id, outcome)
        # A query carries no content, so it may mean either of two requests.
        is_ambiguous_query = request_id in self.reused_ids and request is None
        if isinstance(outcome, outcomes.Done) and not is_ambiguous_query:
            request = request or self.requests[request_id]
            expected = create_expected_answer(request.payload)
            expect(
                outcome.answer == expected, "wrong_answer", request_id, outcome
            )
        previous = self.final_outcomes.setdefault(request_id, outcome)
        # An id that no owner received is not_run twice, for different reasons:
        # for the VM that gave up, and for the owner that later closes the id.
        is_same = previous == outcome or (
            isinstance(previous, outcomes.NotRun)
            and isinstance(outcome, outcomes.NotRun)
        )
        expect(is_same, "final_changed", request_id, previous, outcome)

    def check(self):
        """Checks the invariants that hold at any time.

        Raises:
            ViolationError: If one is violated, now or in a callback before.
        """
        if self._first_violation is not None:
            raise self._first_violation
        expect(not self._errors.found, "callback", *self._errors.found[:1])
        for worker in self.cell.all_workers:
            expect(not worker.overloads, "overload", worker.name)
        for vm in self.cell.vms.values():
            version = vm.entry.applied.config.version
            expect(version >= vm.highest_version, "config_back", vm.name)
            vm.highest_version = version
        self._check_accepted()

    def read_job(self, job_id):
        """Returns the stored record of a job, or None."""
        row = self.cell.platform.table.get(jobs.format_key(job_id)).unwrap()
        return wire.decode(jobs.JobRecord, row.value) if row else None

    def _check_start(self, worker, task_id, start):
        for name, other in self.cell.workers.items():
            if other is None:
                continue
            for attempt in other.list_running():
                running, _ = identifiers.split_attempt(attempt)
                expect(running != task_id, "two_places", attempt, name, worker)
        if identifiers.is_request_id(task_id):
            previous = self.final_outcomes.get(task_id)
            expect(
                not isinstance(previous, outcomes.NotRun),
                "not_run_ran",
                previous,
            )
            if json.loads(start.payload).get("once"):
                expect(not self.starts[task_id], "ran_twice", task_id, worker)
            return
        job_id, _, index = task_id.partition("/")
        state = self.read_job(job_id).tasks[int(index)].state
        expect(state is not jobs.TaskState.DONE, "finished_runs_again", task_id)

    def _check_accepted(self):
        table = self.cell.platform.table
        row = table.get(acceptance.ACCEPTED_KEY).unwrap()
        if row is None:
            return
        accepted = json.loads(row.value)["version"]
        for vm in self.cell.vms.values():
            version = vm.entry.applied.config.version
            if (
                vm.process.state is not soakcells.ProcessState.KILLED
                and version
            ):
                expect(
                    version >= accepted,
                    "accepted_not_in_force",
                    vm.name,
                    accepted,
                )


def create_expected_answer(payload):
    """Returns the answer that a worker gives to a payload."""
    return b"answer to " + payload
