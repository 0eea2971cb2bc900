"""Soak test with tenants whose limits hold over two services.

Usage: python -m tests.entry.tenantsoak --seed N --seconds S [--quiet]

Two tenants ask for several times their limits, each in turn in one service and
in the other; a third one has no limit. The faults are those of the plain soak,
none with --quiet. At each start the checker adds up what truly runs.
"""

import argparse
import asyncio
import json
import random
import sys
import tempfile
import time

from tests.entry import invariants
from tests.entry import soak

SERVICES = (soak.SERVICE, "annex")
PREFIXES = {soak.SERVICE: soak.PREFIX, "annex": "/annex/"}
LIMITS = {
    "t-1": {"cpu": 9000, "memMb": 0, "gpu": 0},
    "t-2": {"cpu": 0, "memMb": 1000, "gpu": 0},
    "t-3": {},
}
ARRIVALS_PER_S = 9.0
# The first tenant's CPU limit from the middle of the run on, and seconds until
# every owner has to know it, also one that was cut off from the store.
LOWERED_CPU = 6000
KNOWN_AFTER_S = 6.0
# Seconds beyond those of the plain soak until all submissions have to end.
EXTRA_S = 60.0
# Seconds after which the demand moves to the other service.
DEMAND_PERIOD_S = 4.0


class TenantChecker(invariants.InvariantChecker):
    """Also checks the limits of the tenants.

    A start above the limit of its tenant is the violation TENANT.

    Attributes:
      tenants: the tenant of each submission, by id.
      lowered_at: when the CPU limit of the first tenant was lowered, or None.
      peaks: most CPU and memory that a tenant had running at once.
      tenant_starts: number of starts by tenant and service.
    """

    def __init__(self, seed):
        super().__init__(seed)
        self.tenants = {}
        self.lowered_at = None
        self.peaks = {name: [0, 0] for name in LIMITS}
        self.tenant_starts = {}

    def record_start(self, worker, command):
        """Checks a start; returns the seconds that the run takes."""
        duration_s = super().record_start(worker, command)
        tenant = self.tenants.get(command["task"].partition(".")[0])
        if tenant is None:
            return duration_s
        key = tenant, worker.service
        self.tenant_starts[key] = self.tenant_starts.get(key, 0) + 1
        used = self.measure(tenant)
        peak = self.peaks[tenant]
        peak[:] = map(max, peak, used)
        limit = self.find_limit(tenant)
        for amount, name in zip(used, ("cpu", "memMb"), strict=True):
            if limit.get(name) and amount > limit[name]:
                self.violations.add(
                    "TENANT", f"{tenant} {name} {amount}: {command['task']}"
                )
        return duration_s

    def find_limit(self, tenant):
        """Returns the limit that holds now."""
        now = time.monotonic()
        if tenant != "t-1" or self.lowered_at is None:
            return LIMITS[tenant]
        if now - self.lowered_at < KNOWN_AFTER_S:
            return LIMITS[tenant]
        return {"cpu": LOWERED_CPU}

    def measure(self, tenant):
        """Returns the CPU and memory that a tenant truly uses."""
        used = [0, 0]
        for name, runs in self.running.items():
            if self.tenants.get(name.partition(".")[0]) == tenant:
                for _, step in runs.values():
                    used[0] += step.get("cpu", 0)
                    used[1] += step.get("memMb", 0)
        return used


class TenantSoak(soak.Soak):
    """One run of the soak with tenants; see the module."""

    def __init__(self, seed, *arguments):
        super().__init__(seed, *arguments)
        self.checker = TenantChecker(seed)
        self.tenant_random = random.Random(seed + 4)
        self.services = {}
        self.has_faults = True

    def add_worker(self, worker):
        """Adds a worker; half of them belong to the second service."""
        worker.service = SERVICES[len(self.workers) % 2]
        super().add_worker(worker)

    def make_configuration(self):
        """Returns the configuration with two services and the tenants."""
        configuration = super().make_configuration()
        plain = configuration["routes"][0]
        annex = {
            **plain,
            "name": "annex",
            "service": "annex",
            "pathPrefix": PREFIXES["annex"],
        }
        del annex["advice"]
        configuration["routes"].append(annex)
        configuration["services"].append({"name": "annex"})
        configuration["tenants"] = [
            {"name": name, "apiKeys": [f"key-{name}"], "maxCount": limit}
            for name, limit in LIMITS.items()
        ]
        return configuration

    def list_activities(self):
        """Leaves the faults out of a quiet run."""
        if self.has_faults:
            return [*super().list_activities(), self.lower_limit()]
        return [self.submit_all(), self.lower_limit()]

    async def check_all(self, deadline):
        """Waits longer, as limits hold the backlog back and not capacity."""
        await super().check_all(deadline + EXTRA_S)

    async def lower_limit(self):
        """Lowers the limit of a tenant in the middle of the run."""
        await asyncio.sleep(self.seconds / 2)
        configuration = self.make_configuration()
        configuration["version"] += 1
        configuration["tenants"][0]["maxCount"] = {"cpu": LOWERED_CPU}
        await self.store.write("op", "config", configuration)
        self.checker.lowered_at = time.monotonic()
        self.record_event("lower_limit")

    async def submit_all(self):
        """Submits more often than the plain soak."""
        deadline = time.monotonic() + self.seconds
        tasks = []
        while time.monotonic() < deadline:
            tasks.append(asyncio.create_task(self.submit()))
            await asyncio.sleep(self.random.expovariate(ARRIVALS_PER_S))
        await asyncio.gather(*tasks)

    async def call(self, method, target, body=b"", timeout_s=3.0):
        """Calls a random entry VM with the key of the submission's tenant."""
        submission_id = target.rpartition("/")[2]
        if submission_id not in self.services:
            self.choose_tenant(submission_id)
        tenant = self.checker.tenants[submission_id]
        vm = self.random.choice(self.vms)
        return await vm.client.call(
            method,
            PREFIXES[self.services[submission_id]] + submission_id,
            body,
            f"Host: {soak.HOST}\r\nAuthorization: Token key-{tenant}\r\n",
            timeout_s,
        )

    def choose_tenant(self, submission_id):
        """Draws the tenant and the service of a new submission."""
        tenant = self.tenant_random.choice(list(LIMITS))
        period = int((time.monotonic() - self.started_at) / DEMAND_PERIOD_S)
        index = period % 2
        if tenant != "t-1" or self.tenant_random.random() < 0.15:
            index = 1 - index
        self.checker.tenants[submission_id] = tenant
        self.services[submission_id] = SERVICES[index]


class QuietTenantSoak(TenantSoak):
    """The same load without faults."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.has_faults = False


def main():
    """Runs the command; returns 1 if there were violations, else 0."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--quiet", action="store_true")
    options = parser.parse_args()
    folder = tempfile.mkdtemp(prefix="persimmon-soak-")
    kind = QuietTenantSoak if options.quiet else TenantSoak
    run = soak.run_soak(options.seed, options.seconds, folder, kind=kind)
    print(f"peaks {json.dumps(run.checker.peaks)}")
    print(f"starts {run.checker.tenant_starts}")
    return soak.report("tenant-soak", options.seed, run, folder)


if __name__ == "__main__":
    sys.exit(main())
