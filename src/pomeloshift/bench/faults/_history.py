"""What callers, operators, engines and services observed in one run.

All times are in seconds of virtual time.
"""

import attrs

from ...errors import Ran


@attrs.frozen
class RunStarted:
    """An engine got work. ``marker`` names the caller's request or item."""

    at: float
    engine: str
    marker: str


@attrs.frozen
class RunEnded:
    """An engine stopped running the work, for any reason."""

    at: float
    engine: str
    marker: str


@attrs.frozen
class EngineCrashed:
    """The request with this marker crashed an engine."""

    at: float
    engine: str
    marker: str


@attrs.frozen
class OrderApplied:
    """An engine applied a command."""

    at: float
    engine: str
    value: str
    fencing_number: int


@attrs.frozen
class CallRan:
    """The plain service ran a call with this key."""

    at: float
    key: str


@attrs.define
class OnlineCall:
    """An online request of a caller and the outcome of its last attempt.

    ``ran`` states whether the request ran, according to the errors that the caller
    got. ``idempotency_key`` is set for calls that must run at most once.
    """

    marker: str
    body: bytes
    expected: str
    sent_at: float
    idempotency_key: str = ""
    status: int = 0
    text: str = ""
    is_complete: bool = False
    error_code: str = ""
    ran: Ran | None = None
    ended_at: float | None = None
    is_poison: bool = False


@attrs.define
class JobRecord:
    """A job of a caller: its ids, statuses and results as the caller got them.

    ``results`` and ``failures`` hold texts and error codes by marker. ``unreadable``
    counts reads that failed after all retries.
    """

    key: str
    markers: tuple[str, ...]
    expected: dict[str, str]
    job_ids: list[str] = attrs.field(factory=list)
    poison_markers: frozenset[str] = frozenset()
    is_idempotent: bool = True
    cancel_acknowledged_at: float | None = None
    statuses: list[str] = attrs.field(factory=list)
    results: dict[str, list[str]] = attrs.field(factory=dict)
    failures: dict[str, list[str]] = attrs.field(factory=dict)
    unreadable: int = 0
    is_refused: bool = False
    is_finished: bool = False


@attrs.define
class Publication:
    """A publication of a configuration and its outcome.

    ``note`` becomes the configuration's ``deployment``, to tell versions apart.
    ``version`` is `None` unless the publication was accepted.
    """

    note: str
    base: int = 0
    version: int | None = None
    conflict: bool = False
    is_resolved: bool = False


@attrs.define
class History:
    """All observations of a run; the only input of the checker.

    ``versions`` holds the successive configuration versions of each process, and
    ``planned_stops`` the start of the drain of each engine.
    """

    engine_runs: list[RunStarted] = attrs.field(factory=list)
    engine_ends: list[RunEnded] = attrs.field(factory=list)
    crashes: list[EngineCrashed] = attrs.field(factory=list)
    orders: list[OrderApplied] = attrs.field(factory=list)
    calls_run: list[CallRan] = attrs.field(factory=list)
    online: list[OnlineCall] = attrs.field(factory=list)
    jobs: list[JobRecord] = attrs.field(factory=list)
    publications: list[Publication] = attrs.field(factory=list)
    versions: dict[str, list[int]] = attrs.field(factory=dict)
    configs_at_end: dict[str, tuple[int, str]] = attrs.field(factory=dict)
    running_at_end: list[str] = attrs.field(factory=list)
    sidecar_versions_at_end: dict[str, int] = attrs.field(factory=dict)
    planned_stops: dict[str, float] = attrs.field(factory=dict)
    unexpected: list[str] = attrs.field(factory=list)
