"""Tests of how the limit of a tenant moves between services."""

import dataclasses
import random
import unittest

from persimmonpath import resources
from persimmonpath_entry.decisions import quotashares
from persimmonpath_entry.state import tenants

LIMIT = resources.Resources(1000, 2000, 10)


def amount(part):
    """Returns a part of the limit in each resource."""
    return resources.Resources(
        int(1000 * part), int(2000 * part), int(10 * part)
    )


def hold(share, want=0.0, large_since=0):
    return quotashares.Holding(amount(share), amount(want), large_since)


def settle(holdings, used, wants, rounds=6, large=None):
    """Has each service rebalance in turn, a number of times.

    Each one uses at once what it gets and wants.
    """
    for _ in range(rounds):
        for service in holdings:
            holdings[service] = quotashares.rebalance(
                LIMIT,
                holdings,
                service,
                used[service],
                wants[service],
                (large or {}).get(service, 0),
            )
            if wants[service].fits_in(holdings[service].share):
                used[service] = wants[service]
    return holdings


class QuotaSharesTest(unittest.TestCase):
    def assert_within_limit(self, amounts, limit):
        total = resources.ZERO
        for one in amounts:
            total += one
        self.assertTrue(total.fits_in(limit), f"{total} of {limit}")

    def test_an_idle_service_gives_its_share_to_one_that_lacks_room(self):
        """The load of a tenant moves between services within a minute."""
        holdings = settle(
            {"a": hold(0.5), "b": hold(0.5)},
            {"a": resources.ZERO, "b": amount(0.5)},
            {"a": resources.ZERO, "b": amount(0.9)},
        )
        self.assertTrue(amount(0.9).fits_in(holdings["b"].share))

    def test_two_busy_services_get_equal_parts(self):
        """A tenant at its limit in one service must get on in the other."""
        used = {"a": amount(1), "b": resources.ZERO}
        wants = {"a": amount(2), "b": amount(2)}
        holdings = {"a": hold(1.0), "b": hold(0.0, 1.0)}
        allowed = quotashares.compute_allowance(
            LIMIT, holdings, "a", used["a"], wants["a"]
        )
        # Nothing starts in place of what ends, until the other one has caught
        # up, and nothing in use is given away.
        self.assertEqual(allowed, amount(0.5))
        settle(holdings, used, wants)
        self.assertEqual(holdings["a"].share, amount(1))
        used["a"] = amount(0.5)
        settle(holdings, used, wants)
        self.assertEqual(holdings["b"].share, amount(0.5))

    def test_a_large_gang_gets_its_room_before_smaller_tasks(self):
        """With equal parts, a gang above half of the limit would never fit."""
        used = {"a": resources.ZERO, "b": amount(0.3)}
        wants = {"a": amount(0.7), "b": amount(2)}
        holdings = {"a": hold(0.5, 0.7, 99), "b": hold(0.5, 1.0)}
        settle(holdings, used, wants, large={"a": 99})
        self.assertEqual(holdings["a"].share, amount(0.7))

    def test_a_lowered_limit_shrinks_all_shares_in_proportion(self):
        """Until the shares are lower, all of them may be in use."""
        limit = amount(0.5)
        holdings = {"a": hold(0.8), "b": hold(0.2)}
        allowed = quotashares.compute_allowance(
            limit, holdings, "a", amount(0.1), amount(2)
        )
        self.assertEqual(allowed, amount(0.3))
        for service in holdings:
            holdings[service] = quotashares.rebalance(
                limit, holdings, service, amount(0.1), amount(2)
            )
        self.assertEqual(holdings["a"].share, amount(0.4))
        kept = quotashares.rebalance(
            limit, {"a": hold(0.8)}, "a", amount(0.7), amount(2)
        )
        self.assertEqual(kept.share, amount(0.7))

    def test_a_resource_without_a_limit_is_free(self):
        limit = quotashares.convert_limit(tenants.TenantLimit(cpu=100))
        allowed = quotashares.compute_allowance(
            limit,
            {"a": quotashares.claim(limit, {}, "a", 2)},
            "a",
            resources.ZERO,
            resources.ZERO,
        )
        self.assertEqual(allowed.cpu_millis, 50)
        self.assertEqual(allowed.accelerators, quotashares.UNBOUNDED)
        self.assertIsNone(quotashares.convert_limit(tenants.UNLIMITED))

    def test_random_steps_never_exceed_the_limit(self):
        """Any order of decisions, also with limits that change meanwhile."""
        for seed in range(300):
            rng = random.Random(seed)
            services = ["a", "b", "c"][: rng.randint(2, 3)]
            limit = resources.Resources(
                rng.randint(1, 5000), rng.randint(1, 90), rng.randint(1, 8)
            )
            holdings = {}
            for _ in range(60):
                service = rng.choice(services)
                if rng.random() < 0.05:
                    limit = resources.Resources(
                        rng.randint(1, 5000),
                        rng.randint(1, 90),
                        rng.randint(1, 8),
                    )
                was_within = self.measure(holdings).fits_in(limit)
                self.take_step(rng, limit, holdings, service, len(services))
                total = self.measure(holdings)
                if was_within:
                    self.assertTrue(total.fits_in(limit), f"seed {seed}")
                self.assert_within_limit(
                    (
                        quotashares.compute_allowance(
                            limit, holdings, s, self.pick(rng), self.pick(rng)
                        )
                        for s in holdings
                    ),
                    limit,
                )

    def take_step(self, rng, limit, holdings, service, count):
        if service not in holdings:
            holdings[service] = quotashares.claim(
                limit, holdings, service, count
            )
            return
        before = holdings[service]
        used = self.pick(rng)
        after = quotashares.rebalance(
            limit,
            holdings,
            service,
            used,
            self.pick(rng),
            rng.choice([0, rng.randint(1, 9)]),
        )
        if self.measure(holdings).fits_in(limit):
            # What is in use is never given away.
            kept = map(
                min, quotashares.split(before.share), quotashares.split(used)
            )
            self.assertTrue(resources.Resources(*kept).fits_in(after.share))
        holdings[service] = after

    def pick(self, rng):
        return resources.Resources(
            rng.randint(0, 6000), rng.randint(0, 99), rng.randint(0, 9)
        )

    def measure(self, holdings):
        total = resources.ZERO
        for held in holdings.values():
            total += held.share
        return total

    def test_demand_is_met_whatever_the_shares_were(self):
        """A tenant under half of its limit gets on within few writes."""
        for seed in range(200):
            rng = random.Random(seed)
            parts = [rng.random() for _ in range(3)]
            total = sum(parts)
            holdings = {
                name: hold(part / total)
                for name, part in zip("abc", parts, strict=True)
            }
            used = dict.fromkeys("abc", resources.ZERO)
            wants = {
                "a": amount(0.4),
                "b": amount(0.3 * rng.random()),
                "c": amount(0.3 * rng.random()),
            }
            settle(holdings, used, wants, rounds=5)
            for service, want in wants.items():
                self.assertTrue(
                    want.fits_in(holdings[service].share), f"seed {seed}"
                )

    def test_a_change_of_little_use_is_not_written(self):
        stored = hold(0.5)
        slightly = dataclasses.replace(
            stored, share=stored.share + resources.Resources(1, 0, 0)
        )
        self.assertFalse(
            quotashares.is_worth_writing(
                LIMIT, stored, slightly, resources.ZERO
            )
        )
        self.assertTrue(
            quotashares.is_worth_writing(LIMIT, stored, slightly, amount(0.5))
        )
        self.assertTrue(
            quotashares.is_worth_writing(
                LIMIT, stored, hold(0.5, 0.6), resources.ZERO
            )
        )

    def test_demand_for_an_unlimited_resource_is_no_lack_of_room(self):
        """Guards against services that lower their shares for nothing."""
        limit = quotashares.convert_limit(tenants.TenantLimit(cpu=1000))
        share = resources.Resources(1000, 0, 0)
        used = resources.Resources(100, 50, 0)
        changed = quotashares.rebalance(
            limit, {"a": quotashares.Holding(share)}, "a", used, used, 7
        )
        self.assertEqual(changed.want, resources.ZERO)
        self.assertEqual(changed.large_since, 0)
