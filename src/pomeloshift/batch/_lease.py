"""The right of one sidecar to run one item for a while."""

from enum import Enum

import attrs

from ._ids import job_id_from_digest

LEASE_SEPARATOR = "."
LEASE_FIELDS = 5


class LeasePhase(Enum):
    """What a lease is waiting for.

    ``CLAIMING`` until the claim of an item that may not be repeated is read back,
    ``RUNNING`` until the sidecar reports, and ``SETTLING`` until the record that
    follows from the report is part of the stream.
    """

    CLAIMING = "claiming"
    RUNNING = "running"
    SETTLING = "settling"


@attrs.define
class Lease:
    """A lease; ``expires_at`` is on the clock of ``now``.

    ``incarnation`` is 0 where it is not known.
    """

    lease_id: str
    job_id: str
    index: int
    instance: str
    incarnation: int
    expires_at: float
    is_alone: bool = False
    phase: LeasePhase = LeasePhase.RUNNING
    nonce: int = 0
    granted_at: float = 0.0


@attrs.frozen
class LeaseName:
    """What the id of a lease tells, also to an owner that did not grant it."""

    partition: int
    owner: str
    job_id: str
    index: int


def lease_id_for(
    partition: int, owner: str, serial: int, job_id: str, index: int
) -> str:
    """Returns the id of a lease; ``owner`` is unique to a run of the owner."""
    digest = job_id.rsplit("_", 1)[-1]
    fields = (str(partition), owner, str(serial), digest, str(index))
    return LEASE_SEPARATOR.join(fields)


def parse_lease_id(lease_id: str) -> LeaseName | None:
    """Returns what a lease id names, or `None` if it is not one."""
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
