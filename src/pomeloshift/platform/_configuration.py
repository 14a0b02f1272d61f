"""Decodes the operator's configuration."""

import math
from typing import TypeVar

import msgspec

from ..dispatch import (
    HttpLimits,
    Route,
    RouteKind,
    Service,
    ServingConfig,
    Split,
    Workspace,
)
from ._errors import UNREADABLE, MalformedError

T = TypeVar("T")
MS = 1000.0


class _Split(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct, rename="camel"):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float = 30000.0
    target_latency_ms: float = 1000.0
    priority: int = 0
    max_attempts: int = 1
    resumable: bool = False
    gap_aim_ms: float = 0.0
    service: str = ""
    traffic_split: list[_Split] = []
    # Time from a job's first submission until its results are due.
    run_deadline_ms: float = 0.0
    # Time from a job's first submission after which its items may be abandoned. The
    # store's own retention is another setting of the same name.
    retention_s: float = msgspec.field(default=0.0, name="retentionS")
    # Limit on the tokens of items that wait on the route; 0 means no limit.
    cap: float = 0
    anonymous: bool = False


class _Engine(msgspec.Struct, rename="camel"):
    kv_capacity: int = 0


class _Service(msgspec.Struct, rename="camel"):
    name: str
    conn_limit: int = 0
    engine: _Engine = msgspec.field(default_factory=_Engine)


class _Tenant(msgspec.Struct, rename="camel"):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0


class _Limits(msgspec.Struct, rename="camel"):
    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] = []


_DECODER = msgspec.json.Decoder(_Config, strict=False)


def decode_config(value: bytes) -> ServingConfig:
    """Returns the configuration in a record's value; raises `MalformedError`."""
    try:
        wire = _DECODER.decode(value)
        routes = tuple(_to_route(route) for route in wire.routes)
        workspaces = tuple(_to_workspace(tenant) for tenant in wire.tenants)
    except UNREADABLE as exc:
        raise MalformedError(f"the configuration cannot be read: {exc}") from exc
    services = tuple(
        Service(s.name, s.conn_limit, s.engine.kv_capacity) for s in wire.services
    )
    limits = _to_limits(wire.limits)
    return ServingConfig(wire.version, routes, services, limits, workspaces)


def _to_workspace(wire: _Tenant) -> Workspace:
    if not all(0 <= number < math.inf for number in (wire.rate_per_s, wire.burst)):
        # The error must not quote the keys.
        raise ValueError(f"a number of the tenant {wire.name!r} is out of range")
    return Workspace(
        name=wire.name,
        keys=frozenset(wire.api_keys),
        priority=wire.priority,
        rate_per_s=wire.rate_per_s,
        burst=wire.burst,
    )


def _to_route(wire: _Route) -> Route:
    splits = tuple(Split(s.service, s.weight) for s in wire.traffic_split)
    if not splits and wire.service:
        splits = (Split(wire.service, 1.0),)
    numbers = (
        wire.timeout_ms,
        wire.target_latency_ms,
        wire.gap_aim_ms,
        wire.run_deadline_ms,
        wire.retention_s,
        wire.cap,
        *(split.weight for split in splits),
    )
    if not all(0 <= number < math.inf for number in numbers):
        raise ValueError(f"a number of the route {wire.name!r} is out of range")
    return Route(
        name=wire.name,
        host=wire.host,
        path_prefix=wire.path_prefix,
        kind=RouteKind(wire.kind),
        splits=splits,
        timeout_s=wire.timeout_ms / MS,
        objective_s=wire.target_latency_ms / MS,
        priority=wire.priority,
        max_attempts=wire.max_attempts,
        is_resumable=wire.resumable,
        event_gap_s=wire.gap_aim_ms / MS,
        job_deadline_s=wire.run_deadline_ms / MS,
        item_retention_s=wire.retention_s,
        queue_token_cap=int(wire.cap),
        is_anonymous=wire.anonymous,
    )


def _to_limits(wire: _Limits) -> HttpLimits:
    return HttpLimits(
        max_header_bytes=wire.max_header_bytes,
        max_body_bytes=wire.max_body_bytes,
        header_timeout_s=wire.header_timeout_ms / MS,
        idle_timeout_s=wire.idle_timeout_ms / MS,
    )


def decode_json(value: bytes, what: str, into: type[T]) -> T:
    """Returns JSON of type ``into``; raises `MalformedError`, which names ``what``."""
    try:
        return msgspec.json.decode(value, type=into)
    except UNREADABLE as exc:
        raise MalformedError(f"{what} cannot be read: {exc}") from exc
