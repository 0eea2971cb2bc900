"""Benchmarks of placement decisions against a scan and first fit."""

import random
import time

from hdrh import histogram

from bench import report
from persimmonpath import inventory
from persimmonpath import placement
from persimmonpath import resources

SEED = 20
DECISIONS = 20_000
WORKER_COUNTS = (27, 220, 880)


def create_workers(count):
    """Returns workers, one in four of them with accelerators."""
    workers = []
    for number in range(count):
        is_accelerated = number % 4 == 3
        workers.append(
            inventory.Worker(
                name=f"w{number}",
                zone="z1",
                rack=f"r{number // 5}",
                host="127.0.0.1",
                port=1,
                cpu_millis=32_000 if is_accelerated else 16_000,
                memory_mib=131_072 if is_accelerated else 32_768,
                accelerators=8 if is_accelerated else 0,
            )
        )
    return workers


def draw_size(generator):
    """Returns a size: mostly small, some large, some with accelerators."""
    drawn = generator.random()
    if drawn < 0.15:
        count = generator.choice([1, 1, 2, 4])
        return resources.Resources(2000 * count, 8192 * count, count)
    if drawn < 0.35:
        return resources.Resources(
            generator.choice([4000, 8000]), generator.choice([4096, 16384])
        )
    return resources.Resources(
        generator.choice([500, 1000, 2000]),
        generator.choice([512, 2048, 6144]),
    )


class LinearScan:
    """Baseline that examines the workers one by one for each decision.

    `rank` orders workers by the capacity that would remain; the lowest rank
    wins. Without it the first worker that fits is chosen.
    """

    def __init__(self, workers, rank):
        self._free = {w.name: [w.capacity, w.slots] for w in workers}
        self._reserved = {}
        self._rank = rank

    def choose(self, size):
        best, best_rank = None, None
        for name, (free, slots) in self._free.items():
            if slots < 1 or not size.fits_in(free):
                continue
            if self._rank is None:
                return name
            rank = self._rank(free - size)
            if best_rank is None or rank < best_rank:
                best, best_rank = name, rank
        return best

    def reserve(self, name, attempt, size):
        self._reserved[attempt] = size
        self._free[name][0] -= size
        self._free[name][1] -= 1

    def release(self, name, attempt):
        self._free[name][0] += self._reserved.pop(attempt)
        self._free[name][1] += 1


def create_placement(workers):
    """Returns a `Placement` with all workers open for new work."""
    created = placement.Placement()
    for worker in workers:
        created.add_worker(worker)
        created.set_open(worker.name, True)
    return created


def create_first_fit(workers):
    """Returns the first-fit baseline."""
    return LinearScan(workers, None)


def create_scan(workers):
    """Returns the best-fit baseline, which ranks all workers."""
    return LinearScan(
        workers, lambda left: (left.accelerators, left.cpu_millis)
    )


def measure_decisions(chooser, worker_count):
    """Returns a histogram of nanoseconds per decision, and the total seconds.

    The cell is kept about 80% full; a decision is a choice with its
    reservation.
    """
    generator = random.Random(SEED)
    times = histogram.HdrHistogram(1, 1_000_000_000, 3)
    placed = []
    total = 0
    for number in range(DECISIONS):
        size = draw_size(generator)
        started = time.perf_counter_ns()
        name = chooser.choose(size)
        if name is not None:
            chooser.reserve(name, str(number), size)
        spent = time.perf_counter_ns() - started
        times.record_value(spent)
        total += spent
        if name is not None:
            placed.append((name, str(number)))
        if name is None or len(placed) > worker_count * 5:
            index = generator.randrange(len(placed))
            placed[index], placed[-1] = placed[-1], placed[index]
            chooser.release(*placed.pop())
    return times, total / 1e9


def measure_density(create, refusals):
    """Returns the mean share of capacity in use at the n-th refusal."""
    shares = []
    for seed in range(20):
        generator = random.Random(seed)
        workers = create_workers(27)
        chooser = create(workers)
        capacity = sum((w.capacity for w in workers), resources.ZERO)
        used = resources.ZERO
        refused = 0
        number = 0
        while refused < refusals:
            number += 1
            size = draw_size(generator)
            name = chooser.choose(size)
            if name is None:
                refused += 1
                continue
            chooser.reserve(name, str(number), size)
            used = used + size
        shares.append(
            max(
                used.cpu_millis / capacity.cpu_millis,
                used.memory_mib / capacity.memory_mib,
                used.accelerators / capacity.accelerators,
            )
        )
    return sum(shares) / len(shares)


def measure():
    """Prints every figure."""
    for count in WORKER_COUNTS:
        workers = create_workers(count)
        times, total_s = measure_decisions(create_placement(workers), count)
        base, base_total_s = measure_decisions(create_scan(workers), count)
        for percentile in (50, 99):
            report.print_figure(
                f"placement_p{percentile}_{count}_workers",
                times.get_value_at_percentile(percentile) / 1000,
                "us",
                base.get_value_at_percentile(percentile) / 1000,
            )
        report.print_figure(
            f"placement_rate_{count}_workers",
            DECISIONS / total_s,
            "decisions/s",
            DECISIONS / base_total_s,
        )
    for refusals in (1, 20):
        report.print_figure(
            f"packing_density_at_refusal_{refusals}",
            measure_density(create_placement, refusals),
            "share",
            measure_density(create_first_fit, refusals),
        )


if __name__ == "__main__":
    measure()
