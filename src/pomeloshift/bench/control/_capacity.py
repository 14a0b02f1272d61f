"""Works out each role at the target from measured slopes."""

import math
from collections.abc import Sequence

import attrs

from ._carrier import CarrierCost
from ._slope import Slope
from ._target import Target

MICROSECONDS_PER_S = 1e6
# The number of entries among which the workload chooses an owner.
MEASURED_ENTRIES = 4
REQUEST_WORK = (
    ("objectives", "request"),
    ("metrics", "request"),
)


@attrs.frozen
class Demand:
    """One kind of work of one process of a role at the target.

    ``core_share`` is in cores and ``kept_bytes`` in resident memory. ``is_control``
    tells control work from the work that serves requests.
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
    """All work at the target with the number of entries that it takes."""

    entries: int
    entry_cores: float
    demands: tuple[Demand, ...]

    def total(self, role: str) -> Demand:
        """Returns the sum of a role's control work."""
        rows = [d for d in self.demands if d.role == role and d.is_control]
        return Demand(
            role,
            "total control",
            sum(row.per_s for row in rows),
            sum(row.core_share for row in rows),
            sum(row.bytes_per_s for row in rows),
            sum(row.kept_bytes for row in rows),
        )


class _Slopes:
    def __init__(self, slopes: Sequence[Slope]) -> None:
        self._by_key = {(s.role, s.work, s.unit): s for s in slopes}

    def get(self, role: str, work: str, unit: str) -> Slope:
        return self._by_key[role, work, unit]


def work_out(slopes: Sequence[Slope], carrier: CarrierCost, target: Target) -> Capacity:
    """Returns the work of one sidecar and of one entry at the target."""
    found = _Slopes(slopes)
    cores = _token_cores(found, target)
    entries = math.ceil(cores / target.entry_core_share)
    demands = [
        *_sidecar(found, carrier, target, entries),
        *_entry(found, carrier, target, entries, cores),
    ]
    return Capacity(entries, cores, tuple(demands))


def _token_cores(found: _Slopes, target: Target) -> float:
    frame = found.get("entry", "token path", "frame").cpu_us
    route = found.get("entry", "route choice", "node, for each request").fixed_cpu_us
    per_request = route + sum(
        found.get("entry", work, unit).cpu_us for work, unit in REQUEST_WORK
    )
    used = frame * target.tokens_per_s + per_request * target.requests_per_s
    return used / MICROSECONDS_PER_S


def _sidecar(
    found: _Slopes, carrier: CarrierCost, target: Target, entries: int
) -> list[Demand]:
    requests = target.requests_per_s / target.nodes
    items = target.items_per_s / target.nodes
    beat = found.get("sidecar", "heartbeat", "heartbeat")
    beats = min(entries, target.heartbeat_fan_out) / target.heartbeat_s
    part = found.get("sidecar", "configuration", "change")
    changes = target.changes_per_s
    item = found.get("sidecar", "batch items", "item")
    attempt = found.get("sidecar", "attempt registry", "request")
    admission = found.get("sidecar", "admission", "stream")
    return [
        _demand("sidecar", "heartbeats to entries", beats, beat, carrier.cpu_us / 2),
        _demand("sidecar", "batch items", items, item, carrier.cpu_us),
        _demand("sidecar", "configuration changes", changes, part, carrier.cpu_us / 2),
        _demand("sidecar", "attempt registry", requests, attempt, 0.0, False),
        _demand("sidecar", "admission", requests + items, admission, 0.0, False),
    ]


def _entry(
    found: _Slopes,
    carrier: CarrierCost,
    target: Target,
    entries: int,
    token_cores: float,
) -> list[Demand]:
    beat = found.get("entry", "heartbeat", "node")
    followed = min(1.0, target.heartbeat_fan_out / entries) * target.nodes
    beats = followed / target.heartbeat_s
    listed = found.get("entry", "live list", "node")
    peer = found.get("entry", "entry heartbeat", "entry")
    peers = 2 * entries / target.heartbeat_s
    fold = found.get("entry", "job fold", "item")
    run = found.get("entry", "item run", "item")
    items = target.items_per_s / entries
    owner = found.get("entry", "ownership", "partition")
    owners_weighed = target.partitions * entries / MEASURED_ENTRIES
    cells = found.get("entry", "objectives", "workspace and minute")
    cell_count = target.workspaces * target.services
    kept_items = target.items_per_day / entries
    return [
        attrs.evolve(
            _demand("entry", "heartbeats of nodes", beats, beat, carrier.cpu_us / 2),
            kept_bytes=beat.kept_bytes * followed,
        ),
        _demand("entry", "live list", target.nodes / target.list_s, listed, 0.0),
        _demand("entry", "heartbeats of entries", peers, peer, carrier.cpu_us / 2),
        _configuration(found, target),
        _demand("entry", "job fold", items, fold, 0.0),
        attrs.evolve(
            _demand("entry", "item runs", items, run, carrier.cpu_us / 2),
            kept_bytes=fold.kept_bytes * kept_items,
        ),
        _demand("entry", "ownership", owners_weighed / target.list_s, owner, 0.0),
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


def _configuration(found: _Slopes, target: Target) -> Demand:
    workspace = found.get("entry", "configuration", "workspace")
    server = found.get("entry", "configuration", "backend server")
    cpu_us = (
        workspace.fixed_cpu_us
        + workspace.cpu_us * target.workspaces
        + server.cpu_us * target.nodes
    )
    size = workspace.wire_bytes * target.workspaces + server.wire_bytes * target.nodes
    kept = workspace.kept_bytes * target.workspaces + server.kept_bytes * target.nodes
    return Demand(
        "entry",
        "configuration changes",
        target.changes_per_s,
        target.changes_per_s * cpu_us / MICROSECONDS_PER_S,
        target.changes_per_s * size,
        kept,
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
