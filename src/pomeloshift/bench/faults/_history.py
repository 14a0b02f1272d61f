"""What callers, operators, engines and services saw in one run."""

import attrs

from ...errors import Ran


@attrs.frozen
class EngineRan:
    """An engine was handed work. ``marker`` names the caller's request or item."""

    at: float
    engine: str
    marker: str


@attrs.frozen
class EngineEnded:
    """An engine does not run the work any more."""

    at: float
    engine: str
    marker: str


@attrs.frozen
class EngineDied:
    """An engine was crashed by the request with this marker."""

    at: float
    engine: str
    marker: str


@attrs.frozen
class OrderTookEffect:
    """An engine carried an order out."""

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
    """One request of a caller with what it got."""

    marker: str
    body: bytes
    expected: str
    sent_at: float
    unrepeatable_key: str = ""
    status: int = 0
    text: str = ""
    whole: bool = False
    error_code: str = ""
    ran: Ran | None = None
    ended_at: float | None = None
    is_poison: bool = False


@attrs.define
class JobRecord:
    """One job of a caller: what was accepted and what it reads of it."""

    key: str
    markers: tuple[str, ...]
    expected: dict[str, str]
    job_ids: list[str] = attrs.field(factory=list)
    poison: frozenset[str] = frozenset()
    repeatable: bool = True
    cancel_acknowledged_at: float | None = None
    statuses: list[str] = attrs.field(factory=list)
    results: dict[str, list[str]] = attrs.field(factory=dict)
    failures: dict[str, list[str]] = attrs.field(factory=dict)
    unreadable: int = 0
    refused: bool = False
    is_ended: bool = False


@attrs.define
class Publication:
    """One publication of an operator and its outcome."""

    note: str
    base: int = 0
    version: int | None = None
    conflict: bool = False
    is_settled: bool = False


@attrs.define
class History:
    """Everything that the checker may look at."""

    engine_runs: list[EngineRan] = attrs.field(factory=list)
    engine_ends: list[EngineEnded] = attrs.field(factory=list)
    deaths: list[EngineDied] = attrs.field(factory=list)
    orders: list[OrderTookEffect] = attrs.field(factory=list)
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
