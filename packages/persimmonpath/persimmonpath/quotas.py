"""Quota usage per team.

Usage changes in the same commit that accepts a job, so that concurrent
submissions cannot exceed a quota together.
"""

import dataclasses

from returns import result

from persimmonpath import errors
from persimmonpath import resources
from persimmonpath import rules
from persimmonpath import work

KEY_PREFIX = "quota/"


@dataclasses.dataclass(frozen=True, slots=True)
class Charge:
    """A change of a team's usage.

    Attributes:
        team: Name of the team.
        amount: Resources added to its usage; negative to refund.
        limit: Most resources that the team may use; None for no limit.
    """

    team: str
    amount: resources.Resources
    limit: resources.Resources | None = None


def format_key(team: str) -> str:
    """Returns the key of a team's usage row."""
    return KEY_PREFIX + team


def compute_total_size(job: work.Job) -> resources.Resources:
    """Returns the resources of all tasks of a job together."""
    return resources.Resources(
        job.size.cpu_millis * job.tasks,
        job.size.memory_mib * job.tasks,
        job.size.accelerators * job.tasks,
    )


def create_charge(job: work.Job, cell_rules: rules.Rules) -> Charge:
    """Returns the charge for a job that is being accepted."""
    limit = None
    for quota in cell_rules.quotas:
        if quota.team == job.team:
            limit = resources.Resources(
                quota.cpu_millis, quota.memory_mib, quota.accelerators
            )
    return Charge(job.team, compute_total_size(job), limit)


def create_refund(job: work.Job) -> Charge:
    """Returns the charge that refunds a job."""
    return Charge(job.team, resources.ZERO - compute_total_size(job))


def apply_charge(
    usage: resources.Resources, charge: Charge
) -> result.Result[resources.Resources, errors.QuotaExceededError]:
    """Returns the usage after a charge, or the error if it is over quota."""
    new_usage = usage + charge.amount
    if charge.limit is not None and not new_usage.fits_in(charge.limit):
        return result.Failure(
            errors.QuotaExceededError(
                f"team {charge.team} would use {new_usage} of {charge.limit}"
            )
        )
    return result.Success(new_usage)
