"""Obtains tickets and capacity for whole gangs before they start."""

from persimmonpath_entry.decisions import preemption
from persimmonpath_entry.decisions import stepplanner
from persimmonpath_entry.engine import preemptor
from persimmonpath_entry.engine import stepranking
from persimmonpath_entry.engine import ticketrequests
from persimmonpath_entry.state import configuration
from persimmonpath_entry.state import execution
from persimmonpath_entry.state import fleet

# Time in seconds beyond the advisor's own for a call on its way and back.
ANSWER_SLACK_S = 0.3


class GangPreparer:
    """Prepares the start of gangs whose queue has an advice policy."""

    def __init__(
        self,
        planner: stepplanner.StepPlanner,
        ticket_requester: ticketrequests.TicketRequester,
        run_preemptor: preemptor.Preemptor,
        ranking: stepranking.StepRanking,
    ):
        self._planner = planner
        self._ticket_requester = ticket_requester
        self._preemptor = run_preemptor
        self._ranking = ranking

    def prepare(
        self,
        step: execution.Step,
        members: list[execution.Task],
        policy: configuration.AdvicePolicy,
        now: float,
    ):
        """Takes the next steps towards the start of a waiting gang.

        Nothing is held before enough workers are approved. Other runs are
        preempted only once all members can start as soon as those have ended.

        Args:
          step: the step of the gang.
          members: its tasks, which all wait.
          policy: the advice policy of its queue.
          now: the monotonic clock, in seconds.
        """
        yields = self._ranking.yields_capacity(step, now)
        if self._plan_approved(step, members, policy, now, yields):
            return
        if now >= step.advice.retry_at:
            self._ticket_requester.explore(
                step, policy, self._planner.free_capacity, now
            )
        if not step.advice.is_asking:
            self._planner.reserve(
                step, len(members), now, step.advice.is_approved, yields
            )

    def _plan_approved(
        self, step, members, policy, now: float, yields: bool
    ) -> bool:
        """Plans a gang on approved workers, with preemption if need be.

        Returns:
          Whether all members fit there at once.
        """
        advice = step.advice
        pairs = self._planner.plan_again(step, members, now, None, advice.good)
        if pairs:
            workers = [worker for _, worker in pairs]
            self._request_tickets(step, workers, policy, now)
            if step.advice.is_asking:
                self._planner.keep_plan(
                    step, now + _estimate_call(policy, len(workers))
                )
            return True
        if yields:
            return False
        return self._vacate(step, len(members), policy, now)

    def _vacate(self, step, count: int, policy, now: float) -> bool:
        """Makes room for a gang, or requests the tickets needed for that.

        Returns:
          Whether all members fit on approved workers after preemption.
        """
        advice = step.advice
        measure = self._preemptor.choose_measure(step)

        def has_ticket(worker: fleet.Worker) -> bool:
            valid_until = now + preemption.STOP_DURATION_S
            return advice.find_ticket(worker.id, valid_until) is not None

        vacated = self._planner.vacate(step, count, now, has_ticket, measure)
        if vacated:
            self._preemptor.preempt(step, vacated)
            return True
        workers = self._planner.list_vacatable(
            step, count, advice.is_approved, measure
        )
        if workers:
            self._request_tickets(step, workers, policy, now)
        return bool(workers)

    def _request_tickets(self, step, workers, policy, now: float):
        if step.advice.is_asking or now < step.advice.retry_at:
            return
        self._ticket_requester.request_start(
            step,
            self._planner.list_ever_fitting(step, None, step.advice.good),
            workers,
            self._planner.free_capacity,
            policy,
            now,
        )


def _estimate_call(policy: configuration.AdvicePolicy, count: int) -> float:
    """Returns the most seconds until the answer to a call has been used."""
    call_s = (policy.decide_ms + policy.each_ms * count) / 1000
    return call_s + ANSWER_SLACK_S
