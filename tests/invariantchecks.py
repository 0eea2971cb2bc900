"""What callers were told, checked against what the workers did."""

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

# Invariants that a run counts and prints instead of ending; empty unless
# `--pass-over` names a case of KNOWN-RED.txt, to look for others behind it.
passed_over: dict[str, int] = {}


class ViolationError(AssertionError):
    """An invariant does not hold."""


def expect(condition, name, *details):
    """Raises when an invariant does not hold."""
    if not condition and name in passed_over:
        passed_over[name] += 1
    elif not condition:
        raise ViolationError(
            " ".join([f"invariant={name}", *map(str, details)])
        )


class _CallbackErrors(logging.Handler):
    """Collects exceptions that callbacks of futures swallow."""

    def __init__(self):
        super().__init__()
        self.found = []

    def emit(self, record):
        self.found.append(self.format(record))


class InvariantChecker:
    """Records starts and answers, and checks the invariants."""

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
        """Stops collecting."""
        self._logger.removeHandler(self._errors)

    def plan(self, worker, start):
        """Decides what an attempt does, and checks that it may start."""
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
        """Records what a caller was told.

        Args:
            request: What the caller sent, None when it only asked.
            answer: What it was told.
        """
        outcome = answer.outcome
        self.outcome_counts[outcomes.name_outcome(outcome)] += 1
        if answer.id and request is not None:
            self.requests.setdefault(answer.id, request)
        try:
            self._check_answer(request, answer.id, outcome)
        except ViolationError as violation:
            self._first_violation = self._first_violation or violation

    def record_id_reuse(self, request_id):
        """Records that a caller was told that an id has other content."""
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
        # Without content, a question cannot tell which of two it asks for.
        is_ambiguous_query = request_id in self.reused_ids and request is None
        if isinstance(outcome, outcomes.Done) and not is_ambiguous_query:
            request = request or self.requests[request_id]
            expected = create_expected_answer(request.payload)
            expect(
                outcome.answer == expected, "wrong_answer", request_id, outcome
            )
        previous = self.final_outcomes.setdefault(request_id, outcome)
        # An id that no owner received is not_run for the VM that gave it up
        # and for the ledger that closes it, for different reasons.
        is_same = previous == outcome or (
            isinstance(previous, outcomes.NotRun)
            and isinstance(outcome, outcomes.NotRun)
        )
        expect(is_same, "final_changed", request_id, previous, outcome)

    def check(self):
        """Checks what can be seen from outside at any time."""
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
        """Returns the row of a job."""
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
    """Returns the right answer to a request."""
    return b"answer to " + payload
