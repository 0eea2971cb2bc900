"""Mutation tests of the soak: entry VMs with one mechanism disabled.

Usage: python -m tests.entry.mutants [NAME]. With a name it runs an entry VM
with that mutant. Without a name it runs the soak test on every mutant; the soak
has to report violations for each of them.
"""

import pathlib
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "packages" / "persimmonpath_entry"))

from persimmonpath_entry import main as program  # noqa: E402
from persimmonpath_entry.engine import acceptance  # noqa: E402
from persimmonpath_entry.engine import node  # noqa: E402
from persimmonpath_entry.engine import shard  # noqa: E402
from persimmonpath_entry.engine import workercommands  # noqa: E402
from persimmonpath_entry.platform import workers  # noqa: E402
from persimmonpath_entry.state import execution  # noqa: E402
from persimmonpath_entry.state import fleet  # noqa: E402

SEEDS = (401, 402, 403, 404)
SECONDS = 20.0


def forget_room():
    """Ignores the capacity that runs reserve on a worker."""
    fleet.Worker._adjust_usage = lambda self, spec, sign: None


def start_out_of_order():
    """Starts steps before the steps that they depend on are done."""
    execution.Submission.is_ready = lambda self, step: True


def ignore_cancels():
    """Ignores cancellations."""
    shard.Shard.cancel = lambda self, submission: None


def accept_unstored():
    """Accepts submissions without storing them."""

    async def store(self, submission_id, record, deadline):
        return acceptance.AcceptanceResult(acceptance.Outcome.ACCEPTED)

    acceptance.Acceptance.store = store


def reject_what_may_be_stored():
    """Rejects submissions whose transaction has an unknown outcome."""
    original = acceptance._PartitionQueue._resolve

    def reject(self, pending, result):
        if result.outcome is acceptance.Outcome.UNKNOWN:
            result = acceptance.AcceptanceResult(acceptance.Outcome.REFUSED)
        original(self, pending, result)

    acceptance._PartitionQueue._resolve = reject


def trust_every_worker():
    """Starts tasks that an unresponsive worker may still be running."""
    shard.Shard.may_run_elsewhere = lambda self, task: False


def take_silence_for_refusal():
    """Treats a start without a response as rejected by the worker."""
    handle = workercommands.WorkerCommands._handle_start_result

    def handle_start(self, run, result, now):
        if isinstance(result, workers.Uncertain):
            result = workers.Rejected(workers.NO_CAPACITY)
        handle(self, run, result, now)

    workercommands.WorkerCommands._handle_start_result = handle_start


def fail_while_stopping():
    """Raises an error in the middle of a graceful shutdown."""

    async def shut_down(self, *servers):
        raise RuntimeError("failed while stopping")

    node.Node._shut_down = shut_down


def acknowledge_unstored():
    """Acknowledges run ends before they are stored."""
    fleet.Worker.choose_acknowledged_end = lambda self, now: self.processed


MUTANTS = {
    mutate.__name__: mutate
    for mutate in (
        forget_room,
        start_out_of_order,
        ignore_cancels,
        accept_unstored,
        reject_what_may_be_stored,
        trust_every_worker,
        take_silence_for_refusal,
        acknowledge_unstored,
        fail_while_stopping,
    )
}


def check_all() -> int:
    """Runs the soak on every mutant; returns the number of survivors."""
    from tests.entry import soak

    survivors = 0
    for name in MUTANTS:
        for seed in SEEDS:
            folder = tempfile.mkdtemp(prefix="persimmon-mutant-")
            found = soak.run_soak(
                seed, SECONDS, folder, name
            ).checker.violations
            if found:
                break
        rules = ",".join(sorted({text.split()[0] for text in found}))
        survivors += not found
        print(f"mutant={name} seed={seed} noticed={rules or 'no'}", flush=True)
    print(f"mutants: total={len(MUTANTS)} survivors={survivors}")
    return survivors


if __name__ == "__main__":
    if len(sys.argv) > 1:
        MUTANTS[sys.argv[1]]()
        sys.exit(program.main())
    sys.exit(check_all())
