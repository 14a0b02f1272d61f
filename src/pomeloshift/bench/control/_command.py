"""The command ``pomeloshift bench control``."""

from typing import Any

import attrs
import msgspec
from twisted.internet.defer import Deferred

from ...net import install_reactor
from ._capacity import Capacity, Demand, compute_capacity
from ._exchange import ExchangeCost, measure_exchange
from ._processes import ProcessCost, measure_process
from ._slope import Slope, measure
from ._target import Target

ROLES = ("sidecar", "entry")


@attrs.frozen
class ControlReport:
    """The measured costs and the capacity computed from them.

    ``carrier`` is the cost of one exchange of control messages.
    """

    slopes: tuple[Slope, ...]
    carrier: ExchangeCost
    processes: tuple[ProcessCost, ...]
    capacity: Capacity


def run_command(*, json: bool = False) -> int:
    """Measures, prints a Markdown report or JSON, and returns 0."""
    report = make_report()
    if json:
        print(msgspec.json.encode(report).decode())
    else:
        print("\n".join(format_report(report)))
    return 0


def make_report() -> ControlReport:
    """Measures slopes, message exchanges and idle processes of both roles."""
    from ._batch_work import BATCH_WORK
    from ._entry_work import ENTRY_WORK
    from ._sidecar_work import SIDECAR_WORK

    processes = tuple(measure_process(role) for role in ROLES)
    exchange = _on_reactor(measure_exchange)
    work = (*SIDECAR_WORK, *ENTRY_WORK, *BATCH_WORK)
    slopes = tuple(measure(workload) for workload in work)
    return ControlReport(
        slopes, exchange, processes, compute_capacity(slopes, exchange, Target())
    )


def format_report(report: ControlReport) -> list[str]:
    """Returns the report as lines of Markdown tables."""
    lines = [
        "| role | work | for each | us of a core | bytes sent | bytes kept |",
        "|---|---|---|---|---|---|",
    ]
    for s in report.slopes:
        costs = f"{s.cpu_us:.2f} | {s.wire_bytes:.0f} | {s.kept_bytes:.0f}"
        lines.append(f"| {s.role} | {s.work} | {s.unit} | {costs} |")
    exchange = report.carrier
    lines += [
        "",
        "One exchange of control messages over loopback: "
        f"{exchange.cpu_us:.0f} us of a core at both ends together, "
        f"{exchange.elapsed_us:.0f} us elapsed.",
        "",
        "| idle process | resident MB | threads | % of a core |",
        "|---|---|---|---|",
    ]
    for p in report.processes:
        resident = p.resident_bytes / 1e6
        lines.append(
            f"| {p.role} | {resident:.1f} | {p.threads} | {p.idle_cpu_percent:.2f} |"
        )
    return [*lines, "", *_format_capacity(report.capacity)]


def _format_capacity(capacity: Capacity) -> list[str]:
    lines = [
        f"Entries at the target: {capacity.entries} "
        f"({capacity.entry_cores:.1f} cores for requests and tokens).",
        "",
        "| one process of | work | times a second | % of a core | KB/s | MB kept |",
        "|---|---|---|---|---|---|",
    ]
    for demand in capacity.demands:
        lines.append(_format_demand(demand))
    for role in ROLES:
        lines.append(_format_demand(capacity.total(role)))
    return lines


def _format_demand(d: Demand) -> str:
    work = d.work if d.is_control else f"({d.work})"
    return (
        f"| {d.role} | {work} | {d.per_s:.1f} | {100 * d.core_share:.2f} | "
        f"{d.bytes_per_s / 1e3:.1f} | {d.kept_bytes / 1e6:.1f} |"
    )


def _on_reactor(function: Any) -> Any:
    reactor = install_reactor()
    outcomes: list[Any] = []

    def begin() -> None:
        running = Deferred.fromCoroutine(function(reactor))
        running.addBoth(outcomes.append)
        running.addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(begin)
    reactor.run()
    (outcome,) = outcomes
    if hasattr(outcome, "raiseException"):
        outcome.raiseException()
    return outcome
