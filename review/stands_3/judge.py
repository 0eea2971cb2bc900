"""Checks the starts that the workers see against the rules."""

import time


class Judge:
    """Keeps starts, ends and acknowledgements, and finds broken rules.

    Attributes:
      deployment: receives the lines of the record.
      plans: returns seconds of work and the end of a run, by task and run.
      starts: each start: time, task, run, worker.
      ends: each end: time, task, run, how, worker, when it was taken note of.
      broken: the broken rules, in order.
    """

    def __init__(self, deployment, plan):
        """Creates a judge.

        Args:
          deployment: receives the lines of the record.
          plan: returns how long a run works, in seconds, and how it ends, for
            the name of its task and its number.
        """
        self.deployment = deployment
        self._plan = plan
        self.running = {}
        self.starts = []
        self.ends = []
        self._ends_by_run = {}
        self.broken = []

    def add(self, rule, text):
        """Records a broken rule."""
        self.broken.append(f"{rule}: {text}")
        self.deployment.record(f"BROKEN {rule}: {text}")

    def record_start(self, worker, command):
        """Checks a start; returns what the run does."""
        task, run = command["task"], command["run"]
        self.deployment.record(f"{worker.id} starts {task} run {run}")
        others = [
            (other, where)
            for other, where in self.running.get(task, {}).items()
            if other != run
        ]
        if others:
            self.add("TWICE", f"{task} run {run} on {worker.id}, as {others}")
        self.running.setdefault(task, {})[run] = worker.id
        self.starts.append((time.monotonic(), task, run, worker.id))
        return self._plan(task, run)

    def record_end(self, worker, task, run, how):
        """Keeps the end of a run."""
        self.deployment.record(f"{worker.id} ends {task} run {run}: {how}")
        self.running.get(task, {}).pop(run, None)
        row = [time.monotonic(), task, run, how, worker.id, None]
        self.ends.append(row)
        self._ends_by_run[worker.id, task, run] = row

    def record_note(self, worker, task, run, how):
        """Keeps that an end was taken note of."""
        row = self._ends_by_run.get((worker.id, task, run))
        if row is not None and row[5] is None:
            row[5] = time.monotonic()

    def check_done_again(self):
        """Finds starts after an end `done` that is taken note of.

        Call it at the end, since an end may be taken note of later. An end
        doesn't count if a lease has lapsed on its worker, at any time.
        """
        lapsed = {row[4] for row in self.ends if row[3] == "lapsed"}
        done = {}
        for at, task, run, how, worker, noted in self.ends:
            is_noted = how == "done" and noted is not None
            if not is_noted or worker in lapsed:
                continue
            if task not in done or at < done[task][0]:
                done[task] = (at, run, worker)
        for at, task, run, worker in self.starts:
            if task in done and at > done[task][0]:
                ended_at, ended_run, ended_on = done[task]
                self.add(
                    "TWICE",
                    f"{task} run {run} starts on {worker} "
                    f"{at - ended_at:.2f} s after run {ended_run} has ended "
                    f"done on {ended_on}, which is taken note of",
                )
