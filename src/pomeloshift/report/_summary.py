"""Records of the log stream that stores the counts of all entries."""

import attrs

from ._counts import BurnCell
from ._histograms import EncodedHistogram

BURN_STREAM = "burn"


@attrs.frozen
class BurnSummary:
    """The counts of one entry since its previous summary."""

    entry: str
    cells: tuple[BurnCell, ...]
    histograms: tuple[EncodedHistogram, ...] = ()


@attrs.frozen
class BurnRollup:
    """The sums of one whole hour over all entries.

    Rollups keep the counts of an hour in the log after its summaries have expired.
    ``start`` is in seconds since the epoch.
    """

    start: int
    cells: tuple[BurnCell, ...]
    histograms: tuple[EncodedHistogram, ...] = ()
