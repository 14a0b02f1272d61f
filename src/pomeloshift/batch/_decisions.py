"""The decisions of a partition's owner about a sidecar's pull."""

import attrs

from ..log import Record
from ._lease import Lease


@attrs.frozen
class PullDecision:
    """Leases for a pull, and records to append.

    An item whose lease is in the phase ``CLAIMING`` is sent to the sidecar only after
    the records were applied and `PartitionOwner.confirm_claim` confirmed the claim.
    ``cancelled`` holds the ids of leases whose items the sidecar should stop.
    """

    leases: tuple[Lease, ...] = ()
    records: tuple[Record, ...] = ()
    cancelled: tuple[str, ...] = ()


@attrs.frozen
class PullStart:
    """The result of reconciling the held leases, before items are chosen.

    ``decision`` is set for a repeated or outdated pull, for which no items are chosen.
    """

    records: tuple[Record, ...] = ()
    decision: PullDecision | None = None
