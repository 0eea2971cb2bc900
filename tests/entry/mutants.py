"""An entry VM with one mechanism switched off, for checks of the soak.

Usage: python -m tests.entry.mutants [NAME]. Without a name every mutant is run
under the soak, which has to notice each of them.
"""

import pathlib
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "packages" / "persimmonpath_entry"))

from persimmonpath_entry import main as program  # noqa: E402
from persimmonpath_entry.engine import acceptance  # noqa: E402
from persimmonpath_entry.engine import orders  # noqa: E402
from persimmonpath_entry.engine import shard  # noqa: E402
from persimmonpath_entry.platform import workers  # noqa: E402
from persimmonpath_entry.state import fleet  # noqa: E402
from persimmonpath_entry.state import work  # noqa: E402

SEEDS = (401, 402, 403, 404)
SECONDS = 20.0


def forget_room():
    """Every worker counts as empty."""
    fleet.Worker._change_room = lambda self, spec, sign: None


def start_out_of_order():
    """A step starts before those that it comes after."""
    work.Submission.is_ready = lambda self, step: True


def ignore_cancels():
    """A cancelled submission goes on."""
    shard.Shard.cancel = lambda self, submission: None


def accept_unstored():
    """A submission is accepted before the store holds it."""

    async def store(self, submission_id, record, deadline):
        return acceptance.Settled(acceptance.Verdict.ACCEPTED)

    acceptance.Acceptance.store = store


def reject_what_may_be_stored():
    """A submission without an answer of the store is rejected."""
    original = acceptance._Group._resolve

    def reject(self, pending, settled):
        if settled.verdict is acceptance.Verdict.UNKNOWN:
            settled = acceptance.Settled(acceptance.Verdict.REFUSED)
        original(self, pending, settled)

    acceptance._Group._resolve = reject


def trust_every_worker():
    """A new owner starts what a silent worker may be running."""
    shard.Shard.may_run_elsewhere = lambda self, task: False


def take_silence_for_refusal():
    """A start without an answer counts as one that was refused."""
    handle = orders.Orders._take_start

    def handle_start(self, run, result, now):
        if isinstance(result, workers.Uncertain):
            result = workers.Rejected(workers.NO_CAPACITY)
        handle(self, run, result, now)

    orders.Orders._take_start = handle_start


def acknowledge_unstored():
    """Ends are acknowledged before the store holds them."""
    fleet.Worker.choose_last_seen = lambda self, now: self.processed


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
    )
}


def check_all() -> int:
    """Runs every mutant under the soak; returns the number not noticed."""
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
