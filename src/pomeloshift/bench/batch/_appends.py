"""Measures group commit at steady rates of completions, in virtual time."""

from random import Random

from ...log import CommitLimits, GroupCommitter, RecordCommitted
from ._measures import AppendMeasures

RECORD_BYTES = 1000
STEP_S = 0.01
APPEND_S = 0.02
SECONDS = 60.0


def measure_appends(
    completions_per_s: float, limits: CommitLimits = CommitLimits(), seed: int = 1
) -> AppendMeasures:
    """Returns what one partition appends; an append takes 20 ms."""
    rng = Random(seed)
    committer = GroupCommitter("s", limits, rng)
    offered_at: dict[str, float] = {}
    settled_after: list[float] = []
    flight: tuple[int, float] | None = None
    now, offset, most = 0.0, 0, 0
    while now < SECONDS:
        now += STEP_S
        for _ in range(_arrivals(completions_per_s * STEP_S, rng)):
            record_id = f"r{len(offered_at)}"
            offered_at[record_id] = now
            committer.offer(record_id, b"x" * RECORD_BYTES, now)
        if flight is not None and now >= flight[1]:
            for effect in committer.appended(flight[0], offset, now):
                if isinstance(effect, RecordCommitted):
                    offset += 1
                    settled_after.append(now - offered_at[effect.record_id])
            flight = None
        order = committer.next_append(now)
        if order is not None:
            flight = (order.append_id, now + APPEND_S)
        most = max(most, committer.waiting_records)
    settled_after.sort()
    count = len(settled_after)
    return AppendMeasures(
        completions_per_s,
        committer.appends / SECONDS,
        1000 * committer.appends / max(1, count),
        settled_after[int(count * 0.95)] if count else 0.0,
        most,
    )


def _arrivals(mean: float, rng: Random) -> int:
    whole = int(mean)
    return whole + (rng.random() < mean - whole)
