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

import msgspec  # noqa: E402

from persimmonpath_entry import main as program  # noqa: E402
from persimmonpath_entry.engine import acceptance  # noqa: E402
from persimmonpath_entry.engine import clientapi  # noqa: E402
from persimmonpath_entry.engine import node  # noqa: E402
from persimmonpath_entry.engine import ownerdirectory  # noqa: E402
from persimmonpath_entry.engine import progressrows  # noqa: E402
from persimmonpath_entry.engine import refusedrows  # noqa: E402
from persimmonpath_entry.engine import shard  # noqa: E402
from persimmonpath_entry.engine import tenantusage  # noqa: E402
from persimmonpath_entry.engine import workercommands  # noqa: E402
from persimmonpath_entry.platform import store as platform_store  # noqa: E402
from persimmonpath_entry.platform import workers  # noqa: E402
from persimmonpath_entry.state import configuration  # noqa: E402
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


def keep_progress_in_one_row():
    """Stores the progress of a submission in one row, however long it is."""

    def encode_rows(submission, max_bytes):
        finished = submission.progress.finished
        done = {f"{n}.0": 1 for n in range(finished.bit_length())}
        done |= {f"{n}.1": 1 for n in range(finished.bit_length())}
        progress = msgspec.structs.replace(submission.progress)
        progress.done = done | progress.done
        return {submission.id: msgspec.json.encode(progress)}

    progressrows.encode_rows = encode_rows
    refusedrows.RefusalIsolation.record_refusal = lambda *arguments: None


def answer_410_after_a_read():
    """Confirms a cancellation if the store holds no row at that moment."""
    store_cancelled = clientapi.ClientApi._store_cancelled

    async def store(self, submission_id, cancelled, rows):
        if cancelled.is_tombstone:
            return platform_store.Committed(0)
        return await store_cancelled(self, submission_id, cancelled, rows)

    clientapi.ClientApi._store_cancelled = store


def invent_queue_settings():
    """Forgets the settings of a queue that an owner has never seen."""
    make = configuration.make_removed_queue

    def make_queue(record):
        return make(msgspec.structs.replace(record, policy=None))

    configuration.make_removed_queue = make_queue


def count_unsent_starts():
    """Takes a submission for started before a worker has confirmed it."""
    start = workercommands.WorkerCommands._start

    async def send(self, run, ticket):
        run.task.step.submission.has_started = True
        await start(self, run, ticket)

    workercommands.WorkerCommands._start = send


def forget_conflicts():
    """Ignores the owner row that a failed takeover shows."""
    ownerdirectory.OwnerDirectory.apply_conflict = lambda *arguments: False


def trust_former_entry():
    """Uses a restarted worker by the entry of its former incarnation."""
    fleet.Worker.is_described = True


def ignore_limits():
    """Starts what a tenant has waiting, whatever its limit."""
    tenantusage.TenantUsage.limit_waiting = lambda self, step, waiting, now: (
        waiting
    )


def forget_former_runs():
    """Takes workers that haven't answered a new owner for idle ones."""
    tenantusage.TenantUsage._count_unknown = lambda self: None


# Mutants that only the soak with tenants can notice.
LIMITED = (ignore_limits, forget_former_runs)
# Mutants that only the varied soak can notice.
VARIED = (
    keep_progress_in_one_row,
    answer_410_after_a_read,
    invent_queue_settings,
    count_unsent_starts,
    forget_conflicts,
    trust_former_entry,
)
MUTANTS = {
    mutate.__name__: mutate
    for mutate in (
        *VARIED,
        *LIMITED,
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
    from tests.entry import tenantsoak
    from tests.entry import variedsoak

    kinds = {
        **dict.fromkeys(VARIED, variedsoak.VariedSoak),
        **dict.fromkeys(LIMITED, tenantsoak.TenantSoak),
    }
    survivors = 0
    for name, mutate in MUTANTS.items():
        kind = kinds.get(mutate, soak.Soak)
        for seed in SEEDS:
            folder = tempfile.mkdtemp(prefix="persimmon-mutant-")
            found = soak.run_soak(
                seed, SECONDS, folder, name, kind=kind
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
