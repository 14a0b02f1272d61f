"""The command ``pomeloshift bench routing``."""

import sys

import attrs
import msgspec

from ._scenario import SCENARIOS
from ._simulation import run_all

COLUMNS = (
    ("p50 s", "wait_p50_s", "{:.3f}"),
    ("p95 s", "wait_p95_s", "{:.3f}"),
    ("p99 s", "wait_p99_s", "{:.3f}"),
    ("imbalance", "imbalance", "{:.3f}"),
    ("hit rate", "prefix_hit_rate", "{:.2f}"),
    ("cross bytes", "cross_region_bytes", "{:d}"),
)


def run_command(seed: int = 1, json: bool = False) -> int:
    """Runs every rule under every scenario, prints the results and returns 0."""
    results = {scenario.name: run_all(seed, scenario) for scenario in SCENARIOS}
    if json:
        fields = {
            name: {rule: attrs.asdict(result) for rule, result in rules.items()}
            for name, rules in results.items()
        }
        body = msgspec.json.encode({"seed": seed, "scenarios": fields})
        sys.stdout.write(body.decode() + "\n")
        return 0
    for name, rules in results.items():
        sys.stdout.write(f"\n{name} (seed {seed})\n")
        titles = "".join(f"{title:>13}" for title, _, _ in COLUMNS)
        sys.stdout.write(f"{'rule':<16}{titles}\n")
        for rule, result in rules.items():
            cells = "".join(
                f"{form.format(getattr(result, field)):>13}"
                for _, field, form in COLUMNS
            )
            sys.stdout.write(f"{rule:<16}{cells}\n")
    return 0
