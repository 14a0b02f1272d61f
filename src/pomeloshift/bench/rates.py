"""Measures what the rate limits of workspaces cost a gateway.

    python -m pomeloshift.bench.rates

prints, for a deployment of today and for the target size, the processor time of a
request, of a heartbeat and of a change of the share, the memory of the accounts, and
the bytes of counters in heartbeats.
"""

import time
import tracemalloc
from collections.abc import Callable

import attrs
import msgspec

from ..dispatch import RequestCounters, Workspace
from ..workspaces import Rates, RateSettings

REPEATS = 20_000
# Counters of a heartbeat to a gateway that reports a few requests.
CHANGED = 2


@attrs.frozen
class RateCosts:
    """Times in microseconds, memory in megabytes, counters in bytes."""

    gateways: int
    workspaces: int
    request_us: float
    heartbeat_us: float
    all_counters_us: float
    share_us: float
    memory_mb: float
    changed_bytes: int
    all_bytes: int


def measure(gateways: int, workspaces: int) -> RateCosts:
    """Returns the costs at a gateway that has heard all counters of all others."""
    spaces = [
        Workspace(f"workspace-{number}", rate_per_s=30.0, burst=60.0)
        for number in range(workspaces)
    ]
    peers = [f"edge-{number}.0123456789ab" for number in range(gateways - 1)]
    rates = Rates(RateSettings(5.0, 0.1, 20.0), 0.0)
    rates.apply(spaces, 0.0)
    rates.set_share(1.0, 0.0)

    def report(peer: str, count: int, of: list[Workspace]) -> None:
        # Each number is an object of its own, as in decoded heartbeats.
        counts = {
            one.name: RequestCounters(count * 1000 + place, 0, 0)
            for place, one in enumerate(of)
        }
        rates.note_peer(peer, 5.0, counts, 1.0)

    tracemalloc.start()
    for number, peer in enumerate(peers):
        report(peer, 1000 + number, spaces)
    memory_mb = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()

    def request(number: int) -> None:
        workspace = spaces[number % workspaces]
        rates.check(workspace, 2.0)
        rates.take(workspace, 2.0)

    def heartbeat(number: int) -> None:
        report(peers[number % len(peers)], 9000 + number, spaces[:CHANGED])

    def everything(number: int) -> None:
        report(peers[number % len(peers)], 90_000 + number, spaces)

    def share(number: int) -> None:
        rates.set_share(0.9 - number % 2 / 10, 3.0)

    return RateCosts(
        gateways,
        workspaces,
        _time_us(request, REPEATS),
        _time_us(heartbeat, REPEATS),
        _time_us(everything, REPEATS // 100),
        _time_us(share, REPEATS // 100),
        memory_mb,
        _size(spaces[:CHANGED]),
        _size(spaces),
    )


def _size(spaces: list[Workspace]) -> int:
    counters = {one.name: RequestCounters(1000, 0, 0) for one in spaces}
    return len(msgspec.msgpack.encode((5.0, counters)))


def _time_us(function: Callable[[int], None], repeats: int) -> float:
    began = time.process_time()
    for number in range(repeats):
        function(number)
    return (time.process_time() - began) / repeats * 1e6


if __name__ == "__main__":
    for size in ((88, 85), (2300, 250)):
        for name, value in attrs.asdict(measure(*size)).items():
            print(f"{name}={value:.4g}", end=" ")
        print()
