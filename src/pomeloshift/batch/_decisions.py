"""What a partition's owner decides about a sidecar's pull."""

import attrs

from ..log import Record
from ._lease import Lease


@attrs.frozen
class PullDecision:
    """Leases for a pull, and records to append.

    Items of leases in the phase ``CLAIMING`` are handed out only once the records
    were applied and `PartitionOwner.is_claimed` confirms them. ``cancelled`` names
    leases whose items the sidecar should stop.
    """

    leases: tuple[Lease, ...] = ()
    records: tuple[Record, ...] = ()
    cancelled: tuple[str, ...] = ()


@attrs.frozen
class PullStart:
    """What taking stock gave: records, or the whole answer to a repeated pull."""

    records: tuple[Record, ...] = ()
    answer: PullDecision | None = None
