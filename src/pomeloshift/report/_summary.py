"""Records of the stream that keeps the account of objectives."""

import attrs

from ._counts import BurnCell
from ._histograms import EncodedHistogram

BURN_STREAM = "burn"


@attrs.frozen
class BurnSummary:
    """What one entry counted since its last summary."""

    entry: str
    cells: tuple[BurnCell, ...]
    histograms: tuple[EncodedHistogram, ...] = ()


@attrs.frozen
class BurnRollup:
    """The sums of one whole hour over all entries, before its summaries expire.

    ``start`` is in seconds since the epoch.
    """

    start: int
    cells: tuple[BurnCell, ...]
    histograms: tuple[EncodedHistogram, ...] = ()
