"""Mutation test of the soak and of the focused checks; run by `make mutants`.

Each mutant switches off one mechanism by patching the library during a run. The
soak or the focused check has to fail then; a mutant that survives shows that
nothing tests the mechanism.
"""

import dataclasses
import sys
from unittest import mock

from absl import logging

from persimmonpath import configuration
from persimmonpath import memoryworkers
from persimmonpath import policies
from persimmonpath import requestrecords
from persimmonpath import resources
from persimmonpath import workertable
from tests import checks
from tests import invariantchecks
from tests import soak

SEEDS = (1, 2, 3, 4, 5, 6)
STEPS = 4800
# Violations that don't count as detection: a mutant has to violate a safety
# invariant, not only leave work unfinished.
LIVENESS_INVARIANTS = ("job_not_finished", "no_service_after_repair")


def _ignore_epoch(worker, start, wait, timeout_s, original):
    start = dataclasses.replace(start, epoch=worker._epoch)
    return original(worker, start, wait, timeout_s)


def _extend_forever(worker, lease_s, *_):
    del lease_s
    worker._lease_end = float("inf")


def _close_without_record(worker, attempt, epoch, timeout_s, original):
    is_known = worker._find_record(attempt) is not None
    reply = original(worker, attempt, epoch, timeout_s)
    if not is_known:
        worker._records.pop(attempt, None)
    return reply


def _list_nothing(worker, epoch, owner, lease_s, timeout_s, original):
    reply = original(worker, epoch, owner, lease_s, timeout_s).result()
    future = memoryworkers.futures.Future()
    future.set_result(
        reply.map(lambda listing: dataclasses.replace(listing, records=[]))
    )
    return future


def _admit_always(records, request_id, *arguments, original):
    records._entries.pop(request_id, None)
    return original(records, request_id, *arguments)


def _evict_without_mark(records, original):
    marks = records._evicted_through, records._complete_since
    original(records)
    records._evicted_through, records._complete_since = marks


def _apply_any(applied, config):
    applied._config = config
    return True


def _is_open_always(entry):
    return entry.is_fenced and not entry.is_lost


def _fits_always(size, other):
    del size, other
    return True


def _patch(owner, name, replacement, needs_original=True):
    original = getattr(owner, name)

    def patched(*arguments, **named):
        if needs_original:
            return replacement(*arguments, **named, original=original)
        return replacement(*arguments, **named)

    return mock.patch.object(owner, name, patched)


_WORKER = memoryworkers.MemoryWorker
# Name, function that creates the patch, and focused check; None runs the soak.
MUTANTS = (
    ("epoch_check", lambda: _patch(_WORKER, "start", _ignore_epoch), None),
    (
        "owner_lease_check",
        lambda: _patch(_WORKER, "_extend_lease", _extend_forever, False),
        checks.check_owner_lease,
    ),
    (
        "tombstone",
        lambda: _patch(_WORKER, "close", _close_without_record),
        None,
    ),
    (
        "takeover_listing",
        lambda: _patch(_WORKER, "fence", _list_nothing),
        checks.check_takeover_listing,
    ),
    (
        "ledger_duplicates",
        lambda: _patch(requestrecords.RequestRecords, "admit", _admit_always),
        None,
    ),
    (
        "eviction_mark",
        lambda: _patch(
            requestrecords.RequestRecords, "_evict", _evict_without_mark
        ),
        checks.check_eviction,
    ),
    (
        "config_version_check",
        lambda: _patch(
            configuration.AppliedConfiguration, "apply", _apply_any, False
        ),
        checks.check_config_version,
    ),
    (
        "drain",
        lambda: _patch(
            workertable.WorkerEntry, "is_open", _is_open_always, False
        ),
        checks.check_drain,
    ),
    (
        "capacity_check",
        lambda: _patch(resources.Resources, "fits_in", _fits_always, False),
        None,
    ),
    (
        "gang_all_or_nothing",
        lambda: mock.patch.object(
            policies, "starts_together", lambda item: False
        ),
        checks.check_gang,
    ),
)


def find_detection(check):
    """Runs the check, or the soak if it is None.

    Returns:
        Text of the failure that detected the mutant, None if it survived.
    """
    if check is not None:
        try:
            check()
        except Exception as error:
            return f"{check.__name__}: {error!s:.80}"
        return None
    for seed in SEEDS:
        error = soak.find_violation(seed, STEPS, shrinks=False)
        if error is not None:
            return f"soak seed={seed}: {error!s:.80}"
    return None


def main():
    """Runs every mutant and prints the results; returns the exit status."""
    logging.set_verbosity(logging.FATAL)
    invariantchecks.passed_over.update(dict.fromkeys(LIVENESS_INVARIANTS, 0))
    survivors = 0
    baseline = find_detection(None)
    if baseline is not None:
        print(f"mutants: the soak fails without any mutant: {baseline}")
        return 1
    for name, switch_off, check in MUTANTS:
        if check is not None:
            check()  # Has to pass while the mechanism works.
        with switch_off():
            detected = find_detection(check)
        survivors += detected is None
        print(
            f"mutant={name} caught={detected is not None} by={detected}",
            flush=True,
        )
    print(f"mutants: total={len(MUTANTS)} survivors={survivors}")
    return 1 if survivors else 0


if __name__ == "__main__":
    sys.exit(main())
