"""Benchmarks of the policies in examples/ against the default policy."""

import pathlib
import tomllib

from absl import logging

from bench import report
from bench import requests
from persimmonpath import rules

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
NAMES = ("tafelberg", "teeblatt")
# Peak load as a multiple of the capacity of the shard.
PEAK_FACTOR = 2


def load_policy(name):
    """Returns the policy of the example deployment of that name."""
    text = (EXAMPLES / name / "rules.toml").read_text()
    return rules.Rules.model_validate(tomllib.loads(text)).policy


def measure_policy(policy):
    """Returns the value and unit of each figure of a policy, by figure name."""
    peak_run = requests.Simulation(False, policy=policy)
    rate = PEAK_FACTOR * requests.compute_capacity(requests.MIX)
    peak_run.load(requests.MIX, rate)
    straggler_run = requests.Simulation(False, policy=policy)
    straggler_run.load(requests.STRAGGLER_MIX, requests.STRAGGLER_RATE)
    short_waits = peak_run.waits["lookup"]
    return {
        "peak_short_wait_p50": (requests.get_quantile(short_waits, 0.5), "s"),
        "peak_short_wait_p99": (requests.get_quantile(short_waits, 0.99), "s"),
        "peak_goodput": (peak_run.done / requests.DURATION_S, "requests/s"),
        "flood_short_wait_p99": (
            requests.get_quantile(straggler_run.waits["lookup"], 0.99),
            "s",
        ),
        "flood_stragglers_done": (
            len(straggler_run.latencies["straggler"])
            / straggler_run.sent["straggler"],
            "share",
        ),
    }


def measure():
    """Prints every figure; the baseline is the default policy."""
    logging.set_verbosity(logging.ERROR)
    defaults = measure_policy(rules.Policy())
    for name in NAMES:
        for figure, (value, unit) in measure_policy(load_policy(name)).items():
            report.print_figure(
                f"{name}_{figure}", value, unit, defaults[figure][0]
            )
