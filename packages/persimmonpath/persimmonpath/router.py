"""Routes each request to the owner of its shard."""

from concurrent import futures
import dataclasses
import random

from returns import result

from persimmonpath import admission
from persimmonpath import entry as entry_module
from persimmonpath import errors
from persimmonpath import identifiers
from persimmonpath import outcomes
from persimmonpath import placement
from persimmonpath import requestdelivery
from persimmonpath import retries
from persimmonpath import work

# A shard that could not accept a request is tried last for this long.
DEPRIORITIZED_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Outcome of a request and the id under which to ask for it again."""

    id: str
    outcome: outcomes.Outcome


class Router:
    """Routes the requests that callers send to one entry VM.

    Every method returns immediately with a future. The future fails with an
    `InputError` if the owner of the shard rejects the id.
    """

    def __init__(self, entry: entry_module.EntryVm, generator: random.Random):
        """Creates a router.

        Args:
            entry: The entry VM.
            generator: Random numbers that spread requests over shards.
        """
        self._entry = entry
        self._random = generator
        self._budget = retries.RetryBudget(
            entry.applied.config.rules.policy.retry_share
        )
        self._deprioritized_until: dict[identifiers.ShardId, float] = {}

    def issue_ids(self, count: int) -> "futures.Future[list[str]]":
        """Returns new ids of one shard; none if no shard could issue any."""
        future: futures.Future = futures.Future()
        self._issue_at_any(self._rank_shards(), count, future)
        return future

    def run(
        self, request_id: str, request: work.Request
    ) -> "futures.Future[Answer]":
        """Runs a request.

        Args:
            request_id: An issued id; empty to have one issued.
            request: The request.

        Raises:
            errors.InputError: If the id or the request is not acceptable.
        """
        admission.check_request(request)
        deadline = self._entry.timers.now() + request.timeout_s
        future: futures.Future = futures.Future()
        policy = self._entry.applied.config.rules.policy
        self._budget.set_share(policy.retry_share)
        self._budget.record_first_attempt()
        if request_id:
            parsed = self._parse(request_id)
            self._deliver(parsed, request, deadline, False, 1, future)
        else:
            self._run_with_new_id(request, deadline, 1, None, future)
        return future

    def ask(
        self, request_id: str, close: bool = False
    ) -> "futures.Future[Answer]":
        """Returns the outcome of a request.

        Args:
            request_id: Id of the request.
            close: Whether to settle an id that the owner of the shard has not
                seen as not run.

        Raises:
            errors.InputError: If the id is not acceptable.
        """
        parsed = self._parse(request_id)
        future: futures.Future = futures.Future()

        def handle_reply(reply: result.Result) -> None:
            error = (
                None if isinstance(reply, result.Success) else (reply.failure())
            )
            if isinstance(error, errors.InputError):
                future.set_exception(error)
                return
            unreachable = outcomes.Unknown("shard_unreachable")
            future.set_result(Answer(request_id, reply.value_or(unreachable)))

        asked = requestdelivery.ask_owner(self._entry, parsed, close)
        asked.add_done_callback(lambda f: handle_reply(f.result()))
        return future

    def _parse(self, request_id: str) -> identifiers.RequestId:
        parsed = identifiers.parse_request_id(request_id)
        admission.check_shard(parsed, self._entry.applied.config.inventory)
        return parsed

    def _run_with_new_id(
        self,
        request: work.Request,
        deadline: float,
        attempts: int,
        previous_answer: Answer | None,
        future: futures.Future,
    ) -> None:
        """Requests an id and runs the request under it.

        Args:
            request: The request.
            deadline: When the caller stops waiting, by the monotonic clock.
            attempts: Ids used for the request, including this one.
            previous_answer: Answer under the previous id, under which the
                request was certainly not run.
            future: Receives the answer.
        """

        def handle_reply(ids: list[str]) -> None:
            if ids:
                parsed = identifiers.parse_request_id(ids[0])
                self._deliver(parsed, request, deadline, True, attempts, future)
                return
            outcome = outcomes.NotRun("no_shard_reachable")
            future.set_result(previous_answer or Answer("", outcome))

        issued: futures.Future = futures.Future()
        issued.add_done_callback(lambda f: handle_reply(f.result()))
        shards = self._rank_shards()
        self._issue_at_any(self._filter_zones(shards, request), 1, issued)

    def _deliver(
        self,
        request_id: identifiers.RequestId,
        request: work.Request,
        deadline: float,
        is_new_id: bool,
        attempts: int,
        future: futures.Future,
    ) -> None:
        def handle_reply(reply: result.Result) -> None:
            if isinstance(reply, result.Failure):
                future.set_exception(reply.failure())
                return
            answer = Answer(str(request_id), reply.unwrap())
            self._record_overload(request_id.shard, answer.outcome)
            if is_new_id and self._should_reroute(
                request, answer.outcome, deadline, attempts
            ):
                self._run_with_new_id(
                    request, deadline, attempts + 1, answer, future
                )
            else:
                future.set_result(answer)

        delivery = requestdelivery.RequestDelivery(
            self._entry, request_id, request, deadline, is_new_id
        )
        delivery.future.add_done_callback(lambda f: handle_reply(f.result()))
        delivery.start()

    def _record_overload(
        self, shard: identifiers.ShardId, outcome: outcomes.Outcome
    ) -> None:
        reasons = ("overloaded", "shard_unreachable", "no_worker_in_use")
        if isinstance(outcome, outcomes.NotRun) and outcome.reason in reasons:
            self._deprioritized_until[shard] = (
                self._entry.timers.now() + DEPRIORITIZED_S
            )

    def _should_reroute(
        self,
        request: work.Request,
        outcome: outcomes.Outcome,
        deadline: float,
        attempts: int,
    ) -> bool:
        """Returns whether to run a request on another shard under a new id.

        That is safe if it was not run: its id was issued here, so no one else
        uses it.
        """
        if not isinstance(outcome, outcomes.NotRun):
            return False
        if outcome.reason not in requestdelivery.REROUTABLE_REASONS:
            return False
        return retries.should_retry(
            request,
            retries.Cause.NOT_STARTED,
            attempts,
            deadline - self._entry.timers.now(),
            self._budget,
        )

    def _filter_zones(
        self, shards: list[identifiers.ShardId], request: work.Request
    ) -> list[identifiers.ShardId]:
        """Returns the shards in the zones that all matching rules allow."""
        for rule in self._entry.applied.config.rules.placement:
            if rule.zones and placement.matches(
                rule, request.kind, request.team
            ):
                shards = [s for s in shards if s.zone in rule.zones]
        return shards

    def _rank_shards(self) -> list[identifiers.ShardId]:
        """Returns shards in the order in which to try them.

        Shards of this VM's zone come first; within a zone, shards that this VM
        owns and that have free slots come first. Shards that recently could
        not accept a request come last.
        """
        config = self._entry.applied.config
        zone = self._entry.identity.zone
        shards = config.inventory.list_shards()
        if not config.rules.policy.spill_to_zones:
            shards = [s for s in shards if s.zone == zone]
        free = {
            owned.id: owned.fleet.count_free_slots()
            for owned in self._entry.list_owned()
        }
        now = self._entry.timers.now()
        self._random.shuffle(shards)
        shards.sort(
            key=lambda shard: (
                self._deprioritized_until.get(shard, 0.0) > now,
                shard.zone != zone,
                free.get(shard, 0) <= 0,
                -free.get(shard, 0),
            )
        )
        return shards

    def _issue_at_any(
        self,
        candidates: list[identifiers.ShardId],
        count: int,
        future: futures.Future,
    ) -> None:
        """Requests ids from the candidates in order until one issues them."""
        while candidates:
            shard, *candidates = candidates
            owned = self._entry.find_owned(shard)
            if owned is not None:
                ids = owned.dispatcher.issue_ids(count)
                future.set_result([str(i) for i in ids])
                return
            address = self._entry.find_owner_address(shard)
            if address is not None:
                self._issue_at_peer(address, shard, candidates, count, future)
                return
        future.set_result([])

    def _issue_at_peer(
        self,
        address: str,
        shard: identifiers.ShardId,
        rest: list[identifiers.ShardId],
        count: int,
        future: futures.Future,
    ) -> None:
        def handle_reply(reply: result.Result) -> None:
            if isinstance(reply, result.Success):
                future.set_result([str(i) for i in reply.unwrap()])
            else:
                now = self._entry.timers.now()
                self._deprioritized_until[shard] = now + DEPRIORITIZED_S
                self._issue_at_any(rest, count, future)

        reply = self._entry.peers.issue_ids(address, shard, count)
        reply.add_done_callback(lambda f: handle_reply(f.result()))


def create_router(
    entry: entry_module.EntryVm, seed: int | None = None
) -> Router:
    """Creates a router; `seed` makes its random choices reproducible."""
    return Router(entry, random.Random(seed))
