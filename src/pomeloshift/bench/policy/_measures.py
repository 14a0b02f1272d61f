"""The measurements of a run."""

from collections import Counter
from collections.abc import Sequence

import attrs

GAP_UNIT_S = 0.0001
SHED_WAIT_S = 30.0


@attrs.define
class Measures:
    """Collects the samples of one run; times in seconds.

    ``first_tokens_s`` holds the arrival time and the wait of each online request.
    ``gaps`` counts the times between tokens in units of `GAP_UNIT_S`. ``give_back_s``
    holds, for each burst and server, the time until batch work no longer delays the
    online streams.
    ``take_backs`` counts preemptions of batch streams.
    """

    first_tokens_s: list[tuple[float, float]] = attrs.field(factory=list)
    gaps: Counter[int] = attrs.field(factory=Counter)
    give_back_s: list[float] = attrs.field(factory=list)
    batch_tokens: int = 0
    batch_tokens_by_s: Counter[int] = attrs.field(factory=Counter)
    gaps_by_s: dict[int, Counter[int]] = attrs.field(factory=dict)
    online_shed: int = 0
    take_backs: int = 0
    lost_tokens: int = 0
    cross_region_bytes: int = 0

    def add_gap(self, at: float, gap_s: float, streams: int) -> None:
        """Adds a time between tokens, once for each of ``streams`` online streams."""
        units = round(gap_s / GAP_UNIT_S)
        self.gaps[units] += streams
        second = self.gaps_by_s.setdefault(int(at), Counter())
        second[units] += streams

    def add_shed(self, at: float) -> None:
        """Adds a shed online request, which counts as a wait of `SHED_WAIT_S`."""
        self.online_shed += 1
        self.first_tokens_s.append((at, SHED_WAIT_S))

    def add_batch_tokens(self, at: float, tokens: int) -> None:
        """Adds output tokens of batch streams."""
        self.batch_tokens += tokens
        self.batch_tokens_by_s[int(at)] += tokens


def quantile(samples: Sequence[float], share: float) -> float:
    """Returns the nearest-rank quantile; 0 without samples."""
    if not samples:
        return 0.0
    ordered = sorted(samples)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def gap_quantile(gaps: Counter[int], share: float) -> float:
    """Returns a quantile of the counted gaps in seconds; 0 without samples."""
    rank = share * gaps.total()
    seen = 0
    for units in sorted(gaps):
        seen += gaps[units]
        if seen > rank:
            return units * GAP_UNIT_S
    return 0.0
