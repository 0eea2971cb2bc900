"""Brings each request to the owner of its shard."""

from concurrent import futures
import dataclasses
import random

from returns import result

from persimmonpath import entry as entry_module
from persimmonpath import errors
from persimmonpath import identifiers
from persimmonpath import outcomes
from persimmonpath import work


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """What became of a request, with the id to ask again by."""

    id: str
    outcome: outcomes.Outcome


class Router:
    """Routes the requests that callers send to one entry VM.

    Every call returns at once with a future.
    """

    def __init__(self, entry: entry_module.EntryVm, generator: random.Random):
        """Creates a router.

        Args:
            entry: The entry VM.
            generator: Spreads requests over shards.
        """
        self._entry = entry
        self._random = generator

    def issue_ids(self, count: int) -> "futures.Future[list[str]]":
        """Returns fresh ids of one shard, an empty list when none can."""
        future: futures.Future = futures.Future()
        self._issue_from(self._rank_shards(), count, future)
        return future

    def run(
        self, request_id: str, request: work.Request
    ) -> "futures.Future[Answer]":
        """Runs a request.

        Args:
            request_id: An issued id, or empty to have one issued.
            request: The request.

        Raises:
            errors.InputError: If the id has a wrong form.
        """
        future: futures.Future = futures.Future()
        if request_id:
            parsed = identifiers.parse_request_id(request_id)
            self._run_with_id(parsed, request, False, future)
            return future

        def take(ids: list[str]) -> None:
            if not ids:
                outcome = outcomes.NotRun("no_shard_reachable")
                future.set_result(Answer("", outcome))
                return
            parsed = identifiers.parse_request_id(ids[0])
            self._run_with_id(parsed, request, True, future)

        self.issue_ids(1).add_done_callback(lambda f: take(f.result()))
        return future

    def ask(
        self, request_id: str, close: bool = False
    ) -> "futures.Future[Answer]":
        """Returns what became of a request.

        Raises:
            errors.InputError: If the id has a wrong form.
        """
        parsed = identifiers.parse_request_id(request_id)
        future: futures.Future = futures.Future()
        owned = self._entry.find_owned(parsed.shard)
        if owned is not None:
            outcome = owned.dispatcher.ask(parsed, close)
            future.set_result(Answer(request_id, outcome))
            return future
        address = self._entry.find_owner_address(parsed.shard)
        unreachable = outcomes.Unknown("shard_unreachable")
        if address is None:
            future.set_result(Answer(request_id, unreachable))
            return future
        reply = self._entry.peers.ask(address, parsed, close)
        reply.add_done_callback(
            lambda f: future.set_result(
                Answer(request_id, f.result().value_or(unreachable))
            )
        )
        return future

    def _run_with_id(
        self,
        request_id: identifiers.RequestId,
        request: work.Request,
        is_fresh: bool,
        future: futures.Future,
    ) -> None:
        def finish(outcome: outcomes.Outcome) -> None:
            future.set_result(Answer(str(request_id), outcome))

        owned = self._entry.find_owned(request_id.shard)
        if owned is not None:
            local = owned.dispatcher.submit(request_id, request)
            local.add_done_callback(lambda f: finish(f.result()))
            return
        address = self._entry.find_owner_address(request_id.shard)
        if address is None:
            finish(_judge_unsent(is_fresh))
            return
        reply = self._entry.peers.run(address, request_id, request)
        reply.add_done_callback(
            lambda f: finish(_read_reply(f.result(), is_fresh))
        )

    def _rank_shards(self) -> list[identifiers.ShardId]:
        """Returns shards in the order in which to try them."""
        owned = [
            (o.fleet.count_free_slots(), o.id) for o in self._entry.list_owned()
        ]
        ranked = [s for free, s in sorted(owned, reverse=True) if free > 0]
        inventory = self._entry.applied.config.inventory
        others = [s for s in inventory.list_shards() if s not in ranked]
        self._random.shuffle(others)
        zone = self._entry.identity.zone
        others.sort(key=lambda shard: shard.zone != zone)
        return ranked + others

    def _issue_from(
        self,
        candidates: list[identifiers.ShardId],
        count: int,
        future: futures.Future,
    ) -> None:
        """Tries the first candidate and, when it fails, the rest."""
        while candidates:
            shard, *candidates = candidates
            owned = self._entry.find_owned(shard)
            if owned is not None:
                ids = owned.dispatcher.issue_ids(count)
                future.set_result([str(i) for i in ids])
                return
            address = self._entry.find_owner_address(shard)
            if address is not None:
                self._issue_at(address, shard, candidates, count, future)
                return
        future.set_result([])

    def _issue_at(
        self,
        address: str,
        shard: identifiers.ShardId,
        rest: list[identifiers.ShardId],
        count: int,
        future: futures.Future,
    ) -> None:
        def take(reply: result.Result) -> None:
            if isinstance(reply, result.Success):
                future.set_result([str(i) for i in reply.unwrap()])
            else:
                self._issue_from(rest, count, future)

        reply = self._entry.peers.issue_ids(address, shard, count)
        reply.add_done_callback(lambda f: take(f.result()))


def _read_reply(reply: result.Result, is_fresh: bool) -> outcomes.Outcome:
    if isinstance(reply, result.Success):
        return reply.unwrap()
    error = reply.failure()
    if isinstance(error, errors.NotOwnerError) or not error.sent:
        return _judge_unsent(is_fresh)
    return outcomes.Unknown("owner_silent")


def _judge_unsent(is_fresh: bool) -> outcomes.Outcome:
    """Returns the outcome of a request that this VM did not pass on.

    Only an id issued here for this very request certainly reached nobody; an
    id from the caller may have been sent through another entry VM before.
    """
    if is_fresh:
        return outcomes.NotRun("shard_unreachable")
    return outcomes.Unknown("shard_unreachable")


def create_router(
    entry: entry_module.EntryVm, seed: int | None = None
) -> Router:
    """Returns a router; without a seed its choices are unpredictable."""
    return Router(entry, random.Random(seed))
