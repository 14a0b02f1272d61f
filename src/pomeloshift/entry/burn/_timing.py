"""Intervals at which SLO accounting stores and reads its counts."""

import attrs
from attrs import validators as v


@attrs.frozen
class BurnTiming:
    """Times in seconds.

    An entry appends its summary every ``summary_s``. With many entries the interval is
    longer, so that all entries together make at most one append per ``append_gap_s``.
    Entries read the stream every ``read_s``. Rollups of past hours are appended again
    every ``rollup_s``.
    """

    summary_s: float = attrs.field(default=60.0, validator=v.gt(0))
    append_gap_s: float = attrs.field(default=1.0, validator=v.gt(0))
    read_s: float = attrs.field(default=30.0, validator=v.gt(0))
    rollup_s: float = attrs.field(default=6 * 3600.0, validator=v.gt(0))

    def interval(self, entries: int) -> float:
        """Returns the seconds between one entry's summaries.

        ``entries`` is the number of live entries.
        """
        return max(self.summary_s, self.append_gap_s * entries)
