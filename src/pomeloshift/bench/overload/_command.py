"""The command ``pomeloshift bench overload``."""

import sys

import attrs
import msgspec

from ._result import run_all
from ._simulation import CAPACITY_PER_S


def run_command(seed: int = 1, json: bool = False) -> int:
    """Runs every variant, prints its goodput by load and returns 0."""
    results = run_all(seed)
    if json:
        variants = {
            name: [attrs.asdict(row) for row in rows] for name, rows in results.items()
        }
        fields = {"seed": seed, "capacity_per_s": CAPACITY_PER_S, "variants": variants}
        sys.stdout.write(msgspec.json.encode(fields).decode() + "\n")
        return 0
    sys.stdout.write(f"capacity {CAPACITY_PER_S:.1f} requests/s, seed {seed}\n")
    header = f"{'variant':<22}{'load':>6}{'goodput/s':>11}{'sends':>7}{'p95 s':>8}"
    sys.stdout.write(f"{header}{'refused':>9}{'given up':>10}\n")
    for name, rows in results.items():
        for row in rows:
            sys.stdout.write(
                f"{name:<22}{row.load:>5}x{row.goodput_per_s:>11.1f}"
                f"{row.sends_per_request:>7.2f}{row.wait_p95_s:>8.3f}"
                f"{row.refused:>9}{row.given_up:>10}\n"
            )
    return 0
