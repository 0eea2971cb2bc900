"""Routing of requests while calls between entry VMs fail."""

import dataclasses
import unittest

from persimmonpath import errors
from persimmonpath import identifiers
from persimmonpath import inventory
from persimmonpath import outcomes
from persimmonpath import resources
from persimmonpath import router as router_module
from persimmonpath import rules
from persimmonpath import work
from tests import fakes

SIZE = resources.Resources(1000, 1024, 0)
REQUEST = work.Request("kind", "team", False, SIZE, b"x", 5.0)
VMS = {"a-0": "zone-a", "a-1": "zone-a", "b-0": "zone-b"}


class Cell:
    """Two zones with one shard and one worker each; a router on each VM."""

    def __init__(self, plan=None, slots=8, spill_to_zones=True, placement=()):
        self.fakes = fakes.FakeCell()
        self.timers = self.fakes.timers
        self.network = self.fakes.network
        workers = []
        for zone in ("zone-a", "zone-b"):
            self.fakes.add_worker(f"{zone}-worker", plan, slots)
            workers.append(
                inventory.Worker(
                    name=f"{zone}-worker",
                    zone=zone,
                    rack="rack",
                    host="127.0.0.1",
                    port=1,
                    cpu_millis=16_000,
                    memory_mib=32_768,
                    slots=slots,
                )
            )
        entries = {n: self.fakes.add_entry(n, z) for n, z in VMS.items()}
        content = inventory.Inventory(
            zones=[inventory.Zone(name=z) for z in ("zone-a", "zone-b")],
            workers=workers,
        )
        policy = rules.Policy(spill_to_zones=spill_to_zones)
        self.timers.advance(2.0)
        entries["a-0"].commit_config(
            0, "test", content, rules.Rules(policy=policy, placement=placement)
        ).unwrap()
        self.timers.advance(10.0)
        self.routers = {
            name: router_module.create_router(entry, 1)
            for name, entry in entries.items()
        }
        self.entries = entries
        self.owner = next(
            n for n, e in entries.items() if n < "b" and e.list_owned()
        )
        self.other = "a-1" if self.owner == "a-0" else "a-0"

    def link(self, one, other):
        """Returns the pair of addresses under which a fault is set."""
        return f"{one}:1", f"{other}:1"

    def count_runs(self):
        """Returns the number of starts on all workers."""
        return sum(sum(w.runs.values()) for w in self.fakes.workers.values())

    def run(self, via, request_id="", request=REQUEST, seconds=5.5):
        """Runs a request via an entry VM and returns the answer."""
        future = self.routers[via].run(request_id, request)
        self.timers.advance(seconds)
        return future.result(0)


def get_outcome_name(answer):
    """Returns the wire name of an answer's outcome."""
    return outcomes.get_outcome_name(answer.outcome)


class RouterTest(unittest.TestCase):
    """Outcomes and number of runs of routed requests."""

    def test_outcome_for_each_fault_between_entry_vms(self):
        """An outcome must be `unknown` unless it is certain."""

        def lose_answers(cell):
            cell.network.loses_answers.add(cell.link(cell.other, cell.owner))

        def clear_later(cell, fault):
            fault.add(cell.link(cell.other, cell.owner))
            cell.timers.call_later(4.0, fault.clear)

        # Fault, outcome of a request with an id issued before, number of runs.
        cases = {
            "none": (lambda cell: None, "done", 1),
            "all answers lost": (lose_answers, "unknown", 1),
            "answer lost, question answered": (
                lambda cell: clear_later(cell, cell.network.loses_answers),
                "done",
                1,
            ),
            "request lost, question answered": (
                lambda cell: clear_later(cell, cell.network.unanswered_pairs),
                "not_run",
                0,
            ),
            "calls unanswered": (
                lambda cell: cell.network.cut(
                    *cell.link(cell.other, cell.owner)
                ),
                "unknown",
                0,
            ),
            "owner gone": (
                lambda cell: cell.network.entries.pop(f"{cell.owner}:1"),
                "unknown",
                0,
            ),
        }
        for title, (fault, outcome, runs) in cases.items():
            with self.subTest(title):
                cell = Cell()
                owned = cell.entries[cell.owner].list_owned()[0]
                request_id = str(owned.dispatcher.issue_ids(1)[0])
                fault(cell)
                answer = cell.run(cell.other, request_id)
                self.assertEqual(get_outcome_name(answer), outcome)
                self.assertEqual(answer.id, request_id)
                self.assertEqual(cell.count_runs(), runs)

    def test_new_request_is_rerouted_when_the_owner_is_gone(self):
        """No one else knows its id, so running it under a new one is safe."""
        cell = Cell()
        cell.network.entries.pop(f"{cell.owner}:1")
        self.assertEqual(get_outcome_name(cell.run(cell.other)), "done")
        self.assertEqual(cell.count_runs(), 1)

    def test_retry_at_other_entry_vms_runs_once(self):
        """Every entry VM must route an id to the shard that issued it."""
        cell = Cell()
        request_id = cell.run(cell.owner).id
        for via in VMS:
            self.assertEqual(
                get_outcome_name(cell.run(via, request_id)), "done"
            )
        self.assertEqual(cell.count_runs(), 1)

    def test_retry_after_the_loss_of_the_owner_runs_once(self):
        """The next owner must learn the id from the listing of the worker."""
        cell = Cell()
        request_id = cell.run(cell.owner).id
        cell.fakes.pause(cell.owner)
        cell.timers.advance(15.0)
        self.assertTrue(cell.entries[cell.other].list_owned())
        for via in (cell.other, "b-0"):
            self.assertEqual(
                get_outcome_name(cell.run(via, request_id)), "done"
            )
        self.assertEqual(cell.count_runs(), 1)

    def test_resumed_former_owner_forwards_the_request(self):
        """Its worker rejects the old epoch, so it cannot know the outcome."""
        cell = Cell()
        cell.fakes.pause(cell.owner)
        cell.timers.advance(15.0)
        future = cell.routers[cell.owner].run("", REQUEST)
        cell.fakes.resume(cell.owner)
        cell.timers.advance(5.0)
        self.assertEqual(get_outcome_name(future.result(0)), "done")
        self.assertEqual(cell.count_runs(), 1)

    def test_outcome_known_after_the_deadline_is_returned_on_query(self):
        """A run that ends after its deadline must not stay unknown."""
        cell = Cell(lambda start: fakes.memoryworkers.Plan(7.0, True, b"late"))
        answer = cell.run(cell.other)
        self.assertEqual(get_outcome_name(answer), "unknown")
        cell.timers.advance(6.0)
        asked = cell.routers["b-0"].ask(answer.id)
        self.assertEqual(get_outcome_name(asked.result(0)), "done")

    def test_invalid_ids_are_rejected_as_caller_errors(self):
        """An outcome would describe a request that does not exist."""
        cell = Cell()
        for text in ("x", "zone-c.0.1.1", "zone-a.1.1.1"):
            with self.assertRaises(errors.InputError):
                cell.routers[cell.owner].run(text, REQUEST)
            with self.assertRaises(errors.InputError):
                cell.routers[cell.owner].ask(text)
        request_id = cell.run(cell.owner).id
        other = dataclasses.replace(REQUEST, payload=b"other")
        for via in VMS:
            with self.assertRaises(errors.IdReusedError):
                cell.run(via, request_id, other)

    def test_full_zone_spills_new_requests_only_if_allowed(self):
        """Another zone may run requests that their own zone would refuse."""
        for spill_to_zones, expects_spill in ((True, True), (False, False)):
            cell = Cell(
                lambda start: fakes.memoryworkers.Plan(1.0, True, b"ok"),
                slots=1,
                spill_to_zones=spill_to_zones,
            )
            for _ in range(3):
                cell.run(cell.owner, seconds=1.5)
            futures = [
                cell.routers[cell.owner].run("", REQUEST) for _ in range(9)
            ]
            cell.timers.advance(6.0)
            runs_in_other_zone = cell.fakes.workers["zone-b-worker"].runs
            self.assertEqual(bool(runs_in_other_zone), expects_spill)
            names = [get_outcome_name(f.result(0)) for f in futures]
            self.assertGreaterEqual(
                names.count("done"), 8 if spill_to_zones else 4
            )
            ids = [
                identifiers.parse_request_id(f.result(0).id) for f in futures
            ]
            self.assertEqual(len(set(ids)), 9)

    def test_vm_without_configuration_accepts_any_well_formed_id(self):
        """It knows no zones and must not reject every id because of that."""
        cell = fakes.FakeCell()
        entry = cell.add_entry("a-0")
        router = router_module.create_router(entry, 1)
        future = router.run("zone-a.0.1.1", REQUEST)
        cell.timers.advance(6.0)
        self.assertEqual(get_outcome_name(future.result(0)), "unknown")

    def test_requests_are_rerouted_if_all_workers_are_draining(self):
        """Otherwise requests would be queued there until their deadline."""
        cell = Cell()
        config = cell.entries["a-0"].applied.config
        drained = [
            worker.model_copy(update={"draining": worker.zone == "zone-a"})
            for worker in config.inventory.workers
        ]
        cell.entries["a-0"].commit_config(
            1,
            "test",
            config.inventory.model_copy(update={"workers": tuple(drained)}),
            config.rules,
        ).unwrap()
        cell.timers.advance(5.0)
        for via in VMS:
            self.assertEqual(get_outcome_name(cell.run(via)), "done")
        self.assertFalse(cell.fakes.workers["zone-a-worker"].runs)

    def test_request_restricted_to_a_zone_runs_nowhere_else(self):
        """A rule may exist because data must not leave a zone."""
        rule = rules.PlacementRule(kind="kind", zones=("zone-b",))
        cell = Cell(placement=(rule,))
        for via in VMS:
            self.assertEqual(get_outcome_name(cell.run(via)), "done")
        self.assertFalse(cell.fakes.workers["zone-a-worker"].runs)
