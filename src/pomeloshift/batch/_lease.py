"""Leases, each of which lets one sidecar run one item for a limited time."""

from enum import Enum

import attrs

from ._ids import job_id_from_digest

LEASE_SEPARATOR = "."
LEASE_FIELDS = 5


class LeasePhase(Enum):
    """What a lease is waiting for.

    ``CLAIMING`` lasts until the claim of a non-idempotent item is read back from the
    stream, ``RUNNING`` until the run ends or the lease expires, and ``COMMITTING``
    until the record of that end is part of the stream.
    """

    CLAIMING = "claiming"
    RUNNING = "running"
    COMMITTING = "settling"


@attrs.define
class Lease:
    """A lease; ``expires_at`` and ``granted_at`` are in monotonic seconds.

    ``incarnation`` is 0 if it is unknown. ``is_exclusive`` states that the item is a
    suspect and runs exclusively. ``nonce`` is that of the pull that got the lease.
    """

    lease_id: str
    job_id: str
    index: int
    instance: str
    incarnation: int
    expires_at: float
    is_exclusive: bool = False
    phase: LeasePhase = LeasePhase.RUNNING
    nonce: int = 0
    granted_at: float = 0.0


@attrs.frozen
class LeaseName:
    """The fields of a lease id, which any owner can parse."""

    partition: int
    owner: str
    job_id: str
    index: int


def lease_id_for(
    partition: int, owner: str, serial: int, job_id: str, index: int
) -> str:
    """Returns the id of a lease; ``owner`` is unique to one run of an owner."""
    digest = job_id.rsplit("_", 1)[-1]
    fields = (str(partition), owner, str(serial), digest, str(index))
    return LEASE_SEPARATOR.join(fields)


def parse_lease_id(lease_id: str) -> LeaseName | None:
    """Returns the fields of a lease id, or `None` if it is malformed."""
    fields = lease_id.split(LEASE_SEPARATOR)
    if len(fields) < LEASE_FIELDS:
        return None
    head, digest, index = fields[0], fields[-2], fields[-1]
    if not head.isdecimal() or not index.isdecimal():
        return None
    partition = int(head)
    owner = LEASE_SEPARATOR.join(fields[1:-3])
    job_id = job_id_from_digest(partition, digest)
    return LeaseName(partition, owner, job_id, int(index))
