"""Computes the work of each role at the target size from measured slopes."""

import math
from collections.abc import Sequence

import attrs

from ._exchange import ExchangeCost
from ._slope import Slope
from ._target import Target

MICROSECONDS_PER_S = 1e6
# Number of entries among which the "ownership" workload chooses an owner.
MEASURED_ENTRIES = 4
REQUEST_WORK = (
    ("objectives", "request"),
    ("metrics", "request"),
)


@attrs.frozen
class Demand:
    """One kind of work of one process of a role at the target size.

    ``core_share`` is in cores and ``kept_bytes`` is resident memory. ``is_control`` is
    false for work that serves requests.
    """

    role: str
    work: str
    per_s: float
    core_share: float
    bytes_per_s: float
    kept_bytes: float
    is_control: bool = True


@attrs.frozen
class Capacity:
    """All work at the target size, and the number of entries that it requires.

    ``entry_cores`` is the number of cores for requests and tokens at all entries.
    """

    entries: int
    entry_cores: float
    demands: tuple[Demand, ...]

    def total(self, role: str) -> Demand:
        """Returns the sum of a role's control work, without request work."""
        rows = [d for d in self.demands if d.role == role and d.is_control]
        return Demand(
            role,
            "total control",
            sum(row.per_s for row in rows),
            sum(row.core_share for row in rows),
            sum(row.bytes_per_s for row in rows),
            sum(row.kept_bytes for row in rows),
        )


class _SlopeTable:
    def __init__(self, slopes: Sequence[Slope]) -> None:
        self._by_key = {(s.role, s.work, s.unit): s for s in slopes}

    def get(self, role: str, work: str, unit: str) -> Slope:
        return self._by_key[role, work, unit]


def compute_capacity(
    slopes: Sequence[Slope], exchange: ExchangeCost, target: Target
) -> Capacity:
    """Returns the work of one sidecar and of one entry at the target size."""
    table = _SlopeTable(slopes)
    cores = _token_cores(table, target)
    entries = math.ceil(cores / target.entry_core_share)
    demands = [
        *_sidecar(table, exchange, target, entries),
        *_entry(table, exchange, target, entries, cores),
    ]
    return Capacity(entries, cores, tuple(demands))


def _token_cores(table: _SlopeTable, target: Target) -> float:
    frame = table.get("entry", "token path", "frame").cpu_us
    route = table.get("entry", "route choice", "node, for each request").fixed_cpu_us
    per_request = route + sum(
        table.get("entry", work, unit).cpu_us for work, unit in REQUEST_WORK
    )
    used = frame * target.tokens_per_s + per_request * target.requests_per_s
    return used / MICROSECONDS_PER_S


def _sidecar(
    table: _SlopeTable, exchange: ExchangeCost, target: Target, entries: int
) -> list[Demand]:
    requests = target.requests_per_s / target.nodes
    items = target.items_per_s / target.nodes
    heartbeat = table.get("sidecar", "heartbeat", "heartbeat")
    heartbeats = min(entries, target.heartbeat_fan_out) / target.heartbeat_s
    config_change = table.get("sidecar", "configuration", "change")
    changes = target.changes_per_s
    item = table.get("sidecar", "batch items", "item")
    attempt = table.get("sidecar", "attempt registry", "request")
    admission = table.get("sidecar", "admission", "stream")
    return [
        _demand(
            "sidecar",
            "heartbeats to entries",
            heartbeats,
            heartbeat,
            exchange.cpu_us / 2,
        ),
        _demand("sidecar", "batch items", items, item, exchange.cpu_us),
        _demand(
            "sidecar",
            "configuration changes",
            changes,
            config_change,
            exchange.cpu_us / 2,
        ),
        _demand("sidecar", "attempt registry", requests, attempt, 0.0, False),
        _demand("sidecar", "admission", requests + items, admission, 0.0, False),
    ]


def _entry(
    table: _SlopeTable,
    exchange: ExchangeCost,
    target: Target,
    entries: int,
    token_cores: float,
) -> list[Demand]:
    heartbeat = table.get("entry", "heartbeat", "node")
    followed = min(1.0, target.heartbeat_fan_out / entries) * target.nodes
    heartbeats = followed / target.heartbeat_s
    list_read = table.get("entry", "live list", "node")
    peer = table.get("entry", "entry heartbeat", "entry")
    peers = 2 * entries / target.heartbeat_s
    replay = table.get("entry", "job fold", "item")
    run = table.get("entry", "item run", "item")
    items = target.items_per_s / entries
    owner = table.get("entry", "ownership", "partition")
    owner_choices = target.partitions * entries / MEASURED_ENTRIES
    cells = table.get("entry", "objectives", "workspace and minute")
    cell_count = target.workspaces * target.services
    retained_items = target.items_per_day / entries
    return [
        attrs.evolve(
            _demand(
                "entry",
                "heartbeats of nodes",
                heartbeats,
                heartbeat,
                exchange.cpu_us / 2,
            ),
            kept_bytes=heartbeat.kept_bytes * followed,
        ),
        _demand("entry", "live list", target.nodes / target.list_s, list_read, 0.0),
        _demand("entry", "heartbeats of entries", peers, peer, exchange.cpu_us / 2),
        _configuration(table, target),
        _demand("entry", "job fold", items, replay, 0.0),
        attrs.evolve(
            _demand("entry", "item runs", items, run, exchange.cpu_us / 2),
            kept_bytes=replay.kept_bytes * retained_items,
        ),
        _demand("entry", "ownership", owner_choices / target.list_s, owner, 0.0),
        attrs.evolve(
            _demand("entry", "objectives", cell_count / 60, cells, 0.0),
            kept_bytes=cells.kept_bytes * cell_count * 60,
        ),
        Demand(
            "entry",
            "token path",
            target.tokens_per_s / entries,
            token_cores / entries,
            0.0,
            0.0,
            False,
        ),
    ]


def _configuration(table: _SlopeTable, target: Target) -> Demand:
    workspace = table.get("entry", "configuration", "workspace")
    server = table.get("entry", "configuration", "backend server")
    cpu_us = (
        workspace.fixed_cpu_us
        + workspace.cpu_us * target.workspaces
        + server.cpu_us * target.nodes
    )
    size = workspace.wire_bytes * target.workspaces + server.wire_bytes * target.nodes
    retained = (
        workspace.kept_bytes * target.workspaces + server.kept_bytes * target.nodes
    )
    return Demand(
        "entry",
        "configuration changes",
        target.changes_per_s,
        target.changes_per_s * cpu_us / MICROSECONDS_PER_S,
        target.changes_per_s * size,
        retained,
    )


def _demand(
    role: str,
    work: str,
    per_s: float,
    slope: Slope,
    extra_us: float,
    is_control: bool = True,
) -> Demand:
    return Demand(
        role,
        work,
        per_s,
        per_s * (slope.cpu_us + extra_us) / MICROSECONDS_PER_S,
        per_s * slope.wire_bytes,
        0.0,
        is_control,
    )
