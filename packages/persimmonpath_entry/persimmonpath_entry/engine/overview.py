"""Text overview of an entry VM's state for operators."""

import heapq
import itertools

from persimmonpath import resources
from persimmonpath_entry.decisions import quotashares
from persimmonpath_entry.decisions import speeds
from persimmonpath_entry.transport import clock

# Tenants that are shown.
MAX_TENANTS = 100
# Kinds of work, kinds of workers and slowest workers that are shown.
MAX_LEARNED = 20


def render(node) -> str:
    """Returns the state of an entry VM as lines of key=value pairs.

    The lines show the configuration version, the reach, the owner of each
    service, and the workers, active submissions and tenants of each shard of
    this VM. Amounts of tenants are cpu/memory/accelerators; what a tenant may
    use without limit is shown as "-".

    Args:
      node: the node of the entry VM.
    """
    context = node.context
    current = context.configuration
    lines = [
        f"vm={context.name} boot={context.boot} reach={node.reach.reach.value} "
        f"version={current.version if current else 0} "
        f"peers={len(node.members.list_reachable_peers())}"
    ]
    for service in current.services if current else ():
        owner = node.ownership.find_owner(service) or "nobody"
        lines.append(f"service={service} owner={owner}")
    for shard in node.ownership.shards.values():
        lines += _render_shard(shard)
        lines += _render_tenants(shard.tenant_usage)
    return "\n".join(lines) + "\n"


def _render_shard(shard) -> list[str]:
    now = clock.read_clock()
    lines = [
        f"shard={shard.service} fence={shard.fence} open={shard.is_open} "
        f"lease_left_s={shard.lease_until - now:.2f} "
        f"unsettled={len(shard.former_runs.unsettled)} "
        f"waiting_steps={len(shard.ready_steps)}"
    ]
    for worker in shard.workers.values():
        registration = worker.registration
        state = "draining" if registration.is_draining else "ready"
        if worker.unresponsive_since is not None:
            state = "silent"
        lines.append(
            f"worker={worker.id} state={state} zone={registration.zone} "
            f"rack={registration.rack} runs={len(worker.runs)} "
            f"free_cpu={worker.free_cpu} free_mb={worker.free_memory_mb} "
            f"free_gpu={worker.free_gpu}"
        )
    lines += _render_learned(shard)
    for submission in shard.submissions.values():
        if submission.is_active:
            runs = len(submission.list_runs())
            lines.append(
                f"submission={submission.id} queue={submission.record.queue} "
                f"age_s={now - submission.known_since:.1f} runs={runs}"
            )
    return lines


def _render_tenants(usage) -> list[str]:
    return [
        f"tenant={tenant} used={_render_amount(usage.find_counted(tenant))} "
        f"share={_render_amount(usage.allowances.get(tenant, resources.ZERO))} "
        f"limit={_render_amount(usage.limits.get(tenant))} "
        f"limited={usage.is_lacking(tenant)}"
        for tenant in usage.list_tenants()[:MAX_TENANTS]
    ]


def _render_amount(amount: resources.Resources | None) -> str:
    if amount is None:
        return "-/-/-"
    return "/".join(
        "-" if value >= quotashares.UNBOUNDED else str(value)
        for value in quotashares.split(amount)
    )


def _render_learned(shard) -> list[str]:
    """Returns what was learned of the most recent kinds and slowest workers."""
    learner = shard.learner
    lines = []
    for kind, average in itertools.islice(
        learner.speeds.list_kinds(), MAX_LEARNED
    ):
        factor = learner.speeds.measure_kind_factor(average)
        lines.append(
            f"kind={kind} run_time_factor={factor:.2f} runs={average.count:.0f}"
        )
    slowest = heapq.nlargest(
        MAX_LEARNED,
        (w for w in shard.workers.values() if w.run_time_factor > 1.0),
        key=lambda worker: worker.run_time_factor,
    )
    for worker in slowest:
        lines.append(
            f"slow_worker={worker.id} kind={speeds.find_kind(worker)} "
            f"run_time_factor={worker.run_time_factor:.2f}"
        )
    for kind, known in itertools.islice(
        learner.run_times.list_learned(), MAX_LEARNED
    ):
        quotient = known.quotients.typical if known.quotients else 0.0
        lines.append(
            f"work={'_'.join(kind.split())} run_s={known.seconds.typical:.3f} "
            f"high_s={known.seconds.high:.3f} to_declared={quotient:.2f}"
        )
    return lines
