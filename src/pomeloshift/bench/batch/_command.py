"""The command ``pomeloshift bench batch``."""

import attrs
import msgspec

from ._appends import measure_appends
from ._measures import BatchMeasures
from ._state import measure_state

LARGEST_JOB_ITEMS = 88_000
COMPLETION_RATES = (1.0, 10.0, 100.0, 600.0, 2400.0)


def run_command(items: int = LARGEST_JOB_ITEMS, json: bool = False) -> int:
    """Measures a job of ``items`` items and log appends, prints both and returns 0."""
    measures = BatchMeasures(
        measure_state(items), tuple(measure_appends(rate) for rate in COMPLETION_RATES)
    )
    if json:
        print(msgspec.json.encode(measures).decode())
        return 0
    for name, value in attrs.asdict(measures.state).items():
        print(f"{name:24} {value:14.6g}")
    for appends in measures.appends:
        print(
            f"{appends.completions_per_s:7.0f} completions/s: "
            f"{appends.appends_per_s:6.2f} appends/s, "
            f"{appends.appends_per_1000_items:8.2f} per 1000 items, "
            f"durable within {appends.settle_p95_s:.3f} s at p95, "
            f"at most {appends.max_waiting_records} waiting"
        )
    return 0
