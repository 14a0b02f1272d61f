"""Control messages between sidecars and entries."""

import attrs

from ..errors import ErrorReport
from ..model import Instance, LoadReport


@attrs.frozen
class SidecarReport:
    """A heartbeat from a sidecar to an entry.

    ``incarnation`` grows with each start of the sidecar, so that an entry can tell
    reports of an earlier process apart. ``draining`` is set once a drain has started.
    ``running`` holds the ids of the leases that the sidecar works on.
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
    """The reply to a heartbeat, to results or to a lease release.

    ``config_version`` is the version that the replying entry applies; only replies
    to heartbeats state it. ``drain`` tells the receiver to take no new work and to
    finish the work under way.
    """

    config_version: int
    entry: str = ""
    incarnation: int = 0
    error: ErrorReport | None = None
    drain: bool = False


@attrs.frozen
class SuspectNotice:
    """What an entry knows of a request that ran on backend servers that crashed.

    ``crashes`` names these crashes. ``cleared`` names those among them that the
    request cannot have caused. The notice expires after ``ttl_s`` seconds.
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
    """A request for a configuration newer than ``have_version``.

    A sidecar names its service and its instance, and the entry then returns only the
    part that concerns them.
    """

    have_version: int
    service: str = ""
    instance: str = ""


@attrs.frozen
class ConfigDocument:
    """The reply to `ConfigPull`: the configuration that the sender applies.

    ``document`` is empty if the sender has no newer one.
    """

    version: int
    document: bytes = b""


@attrs.frozen
class ItemPull:
    """A sidecar's request to an entry for batch items that it has capacity for.

    ``nonce`` identifies the pull, so that a repeated pull returns the same grants.
    ``held`` holds the ids of the leases that the sidecar still works on or whose
    results are not acknowledged; only these are renewed. `None` renews all leases of
    the instance.
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
    the output of an earlier run of the item as the engine's opaque resume token.
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
    """The reply to `ItemPull`.

    ``cancelled`` holds the ids of leases whose items the sidecar has to stop.
    """

    items: tuple[GrantedItem, ...] = ()
    config_version: int = 0
    cancelled: tuple[str, ...] = ()


@attrs.frozen
class ItemOutcome:
    """The result of one leased item: the complete response or its error."""

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
    """Outcomes of leased items, sent by a sidecar to an entry."""

    instance: str
    incarnation: int
    outcomes: tuple[ItemOutcome, ...]


@attrs.frozen
class LeaseRelease:
    """Returns leased items that were not started or not finished.

    ``resumes`` holds the resume token of each lease, in the order of ``lease_ids``;
    it is empty bytes where there is none.
    """

    instance: str
    lease_ids: tuple[str, ...]
    resumes: tuple[bytes, ...] = ()


@attrs.frozen
class Refusal:
    """The reply to a message that the receiver could not serve."""

    error: ErrorReport
