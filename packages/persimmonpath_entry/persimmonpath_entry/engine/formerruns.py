"""What an owner doesn't know yet of the runs that former owners started."""


class FormerRuns:
    """Tells which tasks may have runs, or run ends, that aren't known yet.

    Attributes:
      unsettled: workers of the former owner that haven't answered yet, with
        the time at which every lease granted there has expired.
      unsettled_tasks: names of the tasks that may run on an unsettled worker,
        by worker id; a worker that isn't a key may run any task.
      unidentified_tasks: names of tasks of which a worker lists a run or an end
        and whose submission hasn't been read yet, by worker id. A former owner
        may have started them after this one had read the submissions.
      workers_with_unlisted_ends: ids of workers that have more run ends than
        their newest listing holds. Which of a former owner's tasks have ended
        there isn't known yet.
    """

    def __init__(self, unsettled: dict[str, float]):
        self.unsettled = unsettled
        self.unsettled_tasks: dict[str, set[str]] = {}
        self.unidentified_tasks: dict[str, set[str]] = {}
        self.workers_with_unlisted_ends: set[str] = set()

    @property
    def is_settled(self) -> bool:
        """Whether all runs of former owners, and their ends, are known."""
        return not (
            self.unsettled
            or self.unidentified_tasks
            or self.workers_with_unlisted_ends
        )

    def may_include(self, name: str) -> bool:
        """Returns whether a task may have a run, or an end, not yet known.

        Args:
          name: name of the task.
        """
        if self.workers_with_unlisted_ends:
            return True
        if any(name in names for names in self.unidentified_tasks.values()):
            return True
        return any(
            worker_id not in self.unsettled_tasks
            or name in self.unsettled_tasks[worker_id]
            for worker_id in self.unsettled
        )

    def is_partly_known(self, worker_id: str) -> bool:
        """Returns whether a worker has answered, and not all of it is applied.

        It has more run ends than it has listed, or lists runs or ends of
        submissions that aren't read yet.

        Args:
          worker_id: id of the worker.
        """
        return (
            worker_id in self.unidentified_tasks
            or worker_id in self.workers_with_unlisted_ends
        )

    def may_be_on(self, worker_id: str) -> bool:
        """Returns whether a worker may have a run, or an end, not yet known.

        Args:
          worker_id: id of the worker.
        """
        return worker_id in self.unsettled or self.is_partly_known(worker_id)

    def record_unidentified(self, worker_id: str, names: set[str]):
        """Records the tasks of a listing whose submissions aren't read yet.

        Args:
          worker_id: id of the worker.
          names: names of the tasks, empty if there are none.
        """
        if names:
            self.unidentified_tasks[worker_id] = names
        else:
            self.unidentified_tasks.pop(worker_id, None)

    def forget_listing(self, worker_id: str):
        """Forgets what was left of the listings of a worker.

        Args:
          worker_id: id of a worker that is gone, or whose leases have ended.
        """
        self.unidentified_tasks.pop(worker_id, None)
        self.workers_with_unlisted_ends.discard(worker_id)
