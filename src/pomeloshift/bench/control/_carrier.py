"""Measures what one exchange of control messages costs on real sockets."""

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
class CarrierCost:
    """Processor time and elapsed time of one exchange, both ends together."""

    cpu_us: float
    elapsed_us: float


async def measure_carrier(reactor: Any) -> CarrierCost:
    """Exchanges heartbeats over loopback, one after another."""
    server = ControlServer("tcp://127.0.0.1:0", _answer, KEY, reactor)
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
    return CarrierCost(cpu * scale, elapsed * scale)


async def _exchange(client: ControlClient, url: str, count: int) -> None:
    for number in range(count):
        await client.ask(url, make_report(number), TIMEOUT_S)


async def _answer(message: Any) -> Acknowledgement:
    return Acknowledgement(1, "entry-1")
