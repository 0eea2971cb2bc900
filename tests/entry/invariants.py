"""Checks invariants of the scheduler from what workers and callers observe."""

import collections
import random
import time

from tests.entry import standins

# Tasks of a cancelled submission may still start for this time.
CANCEL_GRACE_S = 3.0
# Tasks with this estimate run longer than others by the factor.
LONG_MS = 5000
LONG_FACTOR = 8.0


class InvariantChecker:
    """Records starts and run ends and checks the invariants at each of them.

    Rules that the violations name:
      UNASKED: a task started that nobody submitted, or after a cancellation.
      REFUSED: a task started although its submission was rejected.
      ORDER: a task started before the tasks that it depends on were done.
      TWICE: a task started beside another run or after its acknowledged end.
      ROUTE: a task started on a worker without its label.
      LIMIT: the tasks on a worker exceed its CPU capacity.
      BUDGET: a task started after as many failures as attempts are allowed.
      MIXED: a submission was shown as completed with a task that isn't done.
      LOST: an accepted submission is unknown or never ended.

    Attributes:
      violations: the violations found.
      submissions: bodies of the submissions by id, with their attempts.
      rejected_only: ids of which every call was rejected.
      cancelled: when each confirmed cancellation was confirmed, by id.
      running: worker and step of the runs in progress, by task and run.
      done: names of the tasks that were done.
      acknowledged: names of the tasks whose success was acknowledged.
      failures: acknowledged failed runs by task.
      failed_runs: all failed runs by task.
      started: ids of the submissions of which a task has started.
      starts: number of starts.
    """

    def __init__(self, seed):
        self.violations = standins.Violations()
        self.submissions = {}
        self.rejected_only = set()
        self.cancelled = {}
        self.running = {}
        self.done = set()
        self.acknowledged = set()
        self.failures = {}
        self.failed_runs = collections.defaultdict(set)
        self.started = set()
        self.starts = 0
        self._random = random.Random(seed)

    def draw_failure(self, name):
        """Returns whether a run of a task that ends now fails, at random.

        A step may name the number of runs that fail at first.
        """
        submission_id, _, step, _ = name.split(".")
        step_spec = self.submissions[submission_id]["steps"][int(step)]
        failures = step_spec.get("failures")
        if failures is not None:
            return len(self.failed_runs[name]) < failures
        return self._random.random() < 0.04

    def record_start(self, worker, command):
        """Checks a start; returns the seconds that the run takes."""
        self.starts += 1
        name, run = command["task"], command["run"]
        submission_id, occurrence, step, index = name.split(".")
        body = self.submissions.get(submission_id)
        if body is None or body["spec"] != command["spec"]:
            self.violations.add("UNASKED", name)
            return 0.1
        if submission_id in self.rejected_only:
            self.violations.add("REFUSED", name)
        self.started.add(submission_id)
        step_spec = body["steps"][int(step)]
        label = step_spec.get("requirements")
        if label and label not in worker.labels:
            self.violations.add("ROUTE", f"{name} on {worker.id}")
        self._check_dependencies(submission_id, occurrence, step_spec, name)
        self._check_single_run(worker, name, run)
        self._check_capacity(worker, step_spec, name)
        cancelled_at = self.cancelled.get(submission_id)
        if cancelled_at and time.monotonic() - cancelled_at > CANCEL_GRACE_S:
            self.violations.add("UNASKED", f"{name} was cancelled")
        if len(self.failures.get(name, ())) >= body["attempts"]:
            self.violations.add("BUDGET", name)
        self.running.setdefault(name, {})[run] = (worker, step_spec)
        if step_spec.get("longRunning"):
            return standins.FOREVER_S
        duration_s = self._random.uniform(0.1, 0.9)
        if step_spec["estimatedMs"] == LONG_MS:
            duration_s = LONG_FACTOR * duration_s
        return duration_s

    def _check_dependencies(self, submission_id, occurrence, step_spec, name):
        steps = self.submissions[submission_id]["steps"]
        for earlier in step_spec.get("after", ()):
            for index in range(steps[earlier]["count"]):
                before = f"{submission_id}.{occurrence}.{earlier}.{index}"
                if before not in self.done:
                    self.violations.add("ORDER", f"{name} before {before}")

    def _check_single_run(self, worker, name, run):
        other_runs = [r for r in self.running.get(name, ()) if r != run]
        if other_runs:
            self.violations.add("TWICE", f"{name} {run} beside {other_runs}")
        if name in self.acknowledged:
            self.violations.add("TWICE", f"{name} {run} after its end")

    def _check_capacity(self, worker, step_spec, name):
        used = step_spec.get("cpu", 0)
        for rows in self.running.values():
            used += sum(
                other.get("cpu", 0)
                for holder, other in rows.values()
                if holder is worker
            )
        if used > worker.capacity["cpu"]:
            self.violations.add("LIMIT", f"{name} on {worker.id}: {used}")

    def record_end(self, worker, name, run, how):
        """Records the end of a run and its outcome."""
        self.running.get(name, {}).pop(run, None)
        if how == "done":
            self.done.add(name)
        elif how == "failed":
            self.failed_runs[name].add(run)

    def record_acknowledgement(self, name, run, how):
        """Records that the owner has acknowledged the end of a run."""
        if how == "done":
            self.acknowledged.add(name)
        elif how == "failed":
            self.failures.setdefault(name, set()).add(run)

    def check_completed(self, submission_id):
        """Checks that all tasks of a submission shown as completed are done."""
        body = self.submissions[submission_id]
        for occurrence in range(max(1, body.get("runCount", 0))):
            for number, step in enumerate(body["steps"]):
                for index in range(step["count"]):
                    name = f"{submission_id}.{occurrence}.{number}.{index}"
                    if name not in self.done:
                        self.violations.add("MIXED", f"{name} isn't done")

    def check_failed(self, submission_id):
        """Checks that a submission shown as failed has used its attempts."""
        attempts = self.submissions[submission_id]["attempts"]
        most = max(
            (
                len(runs)
                for name, runs in self.failed_runs.items()
                if name.startswith(submission_id)
            ),
            default=0,
        )
        if most < attempts:
            text = f"{submission_id} failed after {most} of {attempts}"
            self.violations.add("LOST", text)

    def check_cancelled(self):
        """Checks that nothing runs of what was cancelled a while ago."""
        now = time.monotonic()
        for name, runs in self.running.items():
            cancelled_at = self.cancelled.get(name.partition(".")[0])
            if runs and cancelled_at and now - cancelled_at > CANCEL_GRACE_S:
                self.violations.add("UNASKED", f"{name} runs on")

    def count_waiting(self, accepted, age_s):
        """Returns how many submissions surely wait for their first start.

        Args:
          accepted: when each was accepted, by id.
          age_s: seconds since then after which a count has to contain them.
        """
        now = time.monotonic()
        return sum(
            1
            for submission_id, accepted_at in accepted.items()
            if now - accepted_at > age_s
            and submission_id not in self.started
            and submission_id not in self.cancelled
            and not self.submissions[submission_id].get("runCount")
        )
