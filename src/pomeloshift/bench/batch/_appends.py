"""Measures group commit at constant rates of completions, in virtual time."""

from random import Random

from ...log import CommitLimits, GroupCommitter, RecordCommitted
from ._measures import AppendMeasures

RECORD_BYTES = 1000
STEP_S = 0.01
APPEND_S = 0.02
DURATION_S = 60.0


def measure_appends(
    completions_per_s: float, limits: CommitLimits = CommitLimits(), seed: int = 1
) -> AppendMeasures:
    """Returns the appends of one partition; an append takes 20 ms."""
    rng = Random(seed)
    committer = GroupCommitter("s", limits, rng)
    offered_at: dict[str, float] = {}
    commit_delays_s: list[float] = []
    in_flight: tuple[int, float] | None = None
    now, offset, max_waiting = 0.0, 0, 0
    while now < DURATION_S:
        now += STEP_S
        for _ in range(_arrivals(completions_per_s * STEP_S, rng)):
            record_id = f"r{len(offered_at)}"
            offered_at[record_id] = now
            committer.offer(record_id, b"x" * RECORD_BYTES, now)
        if in_flight is not None and now >= in_flight[1]:
            for effect in committer.appended(in_flight[0], offset, now):
                if isinstance(effect, RecordCommitted):
                    offset += 1
                    commit_delays_s.append(now - offered_at[effect.record_id])
            in_flight = None
        append = committer.next_append(now)
        if append is not None:
            in_flight = (append.append_id, now + APPEND_S)
        max_waiting = max(max_waiting, committer.waiting_records)
    commit_delays_s.sort()
    count = len(commit_delays_s)
    return AppendMeasures(
        completions_per_s,
        committer.appends / DURATION_S,
        1000 * committer.appends / max(1, count),
        commit_delays_s[int(count * 0.95)] if count else 0.0,
        max_waiting,
    )


def _arrivals(mean: float, rng: Random) -> int:
    floor = int(mean)
    return floor + (rng.random() < mean - floor)
