"""Measures the cost of one exchange of control messages over real sockets."""

import time
from typing import Any

import attrs

from ...net._control_client import ControlClient
from ...net._control_server import ControlServer
from ...wire import Acknowledgement
from ._fixtures import make_report

KEY = b"0123456789abcdef"
EXCHANGES = 400
WARM_UP = 20
TIMEOUT_S = 10.0
MICROSECONDS_PER_S = 1e6


@attrs.frozen
class ExchangeCost:
    """CPU time of both ends together and elapsed time of one exchange, in us."""

    cpu_us: float
    elapsed_us: float


async def measure_exchange(reactor: Any) -> ExchangeCost:
    """Exchanges heartbeats over loopback, one at a time, and returns the mean cost."""
    server = ControlServer("tcp://127.0.0.1:0", _acknowledge, KEY, reactor)
    server.start()
    client = ControlClient(KEY, reactor)
    try:
        await _exchange(client, server.url, WARM_UP)
        cpu, elapsed = time.process_time(), time.perf_counter()
        await _exchange(client, server.url, EXCHANGES)
        cpu, elapsed = time.process_time() - cpu, time.perf_counter() - elapsed
    finally:
        await client.close()
        await server.stop()
    scale = MICROSECONDS_PER_S / EXCHANGES
    return ExchangeCost(cpu * scale, elapsed * scale)


async def _exchange(client: ControlClient, url: str, count: int) -> None:
    for number in range(count):
        await client.request(url, make_report(number), TIMEOUT_S)


async def _acknowledge(message: Any) -> Acknowledgement:
    return Acknowledgement(1, "entry-1")
