"""Control messages between sidecars and entries."""

import attrs

from ..errors import ErrorReport
from ..model import Instance, LoadReport


@attrs.frozen
class SidecarReport:
    """A heartbeat from a sidecar to an entry.

    ``incarnation`` grows with each start of the sidecar, so that reports of an
    earlier process are recognised. ``draining`` is set as soon as it leaves.
    """

    instance: Instance
    incarnation: int
    sequence: int
    config_version: int
    load: LoadReport
    draining: bool = False
    engine_alive: bool = True
    quarantined: tuple[str, ...] = ()
    running: tuple[str, ...] = ()


@attrs.frozen
class Acknowledgement:
    """The answer to a heartbeat or to results, with the sender's config version.

    ``drain`` orders the receiver to take no new work and to end what runs.
    """

    config_version: int
    entry: str = ""
    incarnation: int = 0
    error: ErrorReport | None = None
    drain: bool = False


@attrs.frozen
class SuspectNotice:
    """What an entry knows of a request that ran on crashed backend servers.

    ``crashes`` names the crashes, ``cleared`` those that the request cannot have
    caused; both hold for ``ttl_s`` seconds.
    """

    fingerprint: str
    crashes: tuple[str, ...]
    cleared: tuple[str, ...]
    ttl_s: float


@attrs.frozen
class EntryReport:
    """A heartbeat from one entry to another."""

    entry: str
    config_version: int
    suspects: tuple[SuspectNotice, ...] = ()
    drain: bool = False


@attrs.frozen
class ConfigPull:
    """Asks for a configuration newer than ``have_version``.

    A sidecar names its service and its instance and gets only what concerns them.
    """

    have_version: int
    service: str = ""
    instance: str = ""


@attrs.frozen
class ConfigDocument:
    """The configuration in force at the sender; empty if it has none newer."""

    version: int
    document: bytes = b""


@attrs.frozen
class ItemPull:
    """A sidecar asks a partition owner for batch work it has room for.

    ``nonce`` names the pull, so that a repeated pull returns the same grants.
    ``held`` names the leases that the sidecar still works on or whose results are
    not acknowledged; only these are renewed. `None` renews all of the instance's.
    """

    instance: str
    incarnation: int
    nonce: int
    region: str
    service: str
    tokens: int
    max_items: int
    held: tuple[str, ...] | None = None


@attrs.frozen
class GrantedItem:
    """One leased batch item with everything needed to run it.

    ``lease_s`` is the length of the lease in seconds from receipt. ``resume`` holds
    output that an earlier run of the item produced, as the engine's opaque token.
    """

    partition: int
    job_id: str
    index: int
    lease_id: str
    lease_s: float
    service: str
    path: str
    body: bytes
    prompt_tokens: int
    max_tokens: int
    deadline_s: float
    idempotent: bool = True
    alone: bool = False
    resume: bytes = b""


@attrs.frozen
class ItemGrants:
    """The answer to `ItemPull`."""

    items: tuple[GrantedItem, ...] = ()
    config_version: int = 0
    cancelled: tuple[str, ...] = ()


@attrs.frozen
class ItemOutcome:
    """The end of one leased item: its whole answer, or the error that ended it."""

    partition: int
    job_id: str
    index: int
    lease_id: str
    status: int
    body: bytes
    output_tokens: int
    error: ErrorReport | None = None


@attrs.frozen
class ItemResults:
    """Outcomes that a sidecar hands to the partition's owner."""

    instance: str
    incarnation: int
    outcomes: tuple[ItemOutcome, ...]


@attrs.frozen
class LeaseRelease:
    """Gives leased items back, unrun or unfinished, with what they produced."""

    instance: str
    lease_ids: tuple[str, ...]
    resumes: tuple[bytes, ...] = ()


@attrs.frozen
class Refusal:
    """The answer to a message that could not be served."""

    error: ErrorReport
