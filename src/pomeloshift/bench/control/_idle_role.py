"""Runs one role without load and prints its resource usage.

``python -m pomeloshift.bench.control._idle_role entry`` prints resident bytes,
threads, and CPU time in percent of a core.
"""

import pathlib
import sys
import time
from collections.abc import Sequence
from random import Random
from typing import Any

from ...model import Instance, InstanceRole, Place
from ...net import SystemClock, install_reactor
from ...settings import EngineAddress, EntrySettings, SidecarSettings

WARM_UP_S = 2.0
MEASURED_S = 5.0
KEY = "0123456789abcdef"
PLACE = Place("region-1", "zone-1a")
UNREACHABLE_URL = "http://127.0.0.1:9"


class StaticInstanceList:
    """An instance list that holds one entry or is empty."""

    def __init__(self, entry: Instance | None = None) -> None:
        self._entry = entry

    async def instances(self) -> Sequence[Instance]:
        """Returns the instances on the list."""
        return (self._entry,) if self._entry is not None else ()


def make_role(role: str, reactor: Any) -> Any:
    """Returns an entry or a sidecar that receives no requests."""
    if role == "entry":
        return _make_entry(reactor)
    return _make_sidecar(reactor)


def _make_entry(reactor: Any) -> Any:
    from ...entry._entry import Entry
    from ...standins.log import LogModel, LogSettings, MemoryLog

    clock = SystemClock()
    log = MemoryLog(LogModel(LogSettings(), Random(1)), clock.monotonic)
    settings = EntrySettings(
        "entry-1", PLACE, UNREACHABLE_URL, UNREACHABLE_URL, KEY, port=0, control_port=0
    )
    instance_list: Any = StaticInstanceList()
    return Entry(settings, instance_list, reactor, clock, Random(1), log)


def _make_sidecar(reactor: Any) -> Any:
    from ...net._control_server import ControlServer
    from ...sidecar._sidecar import Sidecar

    server = ControlServer("tcp://127.0.0.1:0", _acknowledge, KEY.encode(), reactor)
    server.start()
    entry = Instance("entry-1", InstanceRole.ENTRY, PLACE, "127.0.0.1:9", server.url)
    settings = SidecarSettings(
        "backend-1",
        PLACE,
        "lm-a",
        (EngineAddress("engine-1", UNREACHABLE_URL),),
        UNREACHABLE_URL,
        KEY,
        port=0,
    )
    instance_list: Any = StaticInstanceList(entry)
    return Sidecar(settings, instance_list, reactor, SystemClock(), Random(1))


async def _acknowledge(message: Any) -> Any:
    from ...wire import Acknowledgement, ItemGrants, ItemPull

    if isinstance(message, ItemPull):
        return ItemGrants()
    return Acknowledgement(0, "entry-1")


def _status(name: str) -> int:
    for line in pathlib.Path("/proc/self/status").read_text().splitlines():
        if line.startswith(f"{name}:"):
            return int(line.split()[1])
    return 0


async def _run(reactor: Any, role: str) -> None:
    from twisted.internet.task import deferLater

    process = make_role(role, reactor)
    await process.start()
    await deferLater(reactor, WARM_UP_S)
    started = time.process_time()
    await deferLater(reactor, MEASURED_S)
    percent = 100 * (time.process_time() - started) / MEASURED_S
    print(_status("VmRSS") * 1024, _status("Threads"), round(percent, 2))


def main(role: str) -> None:
    """Starts the role, prints its resource usage and exits the process."""
    import os

    from loguru import logger
    from twisted.internet.defer import Deferred

    logger.remove()
    reactor = install_reactor(with_tls=False)

    def begin() -> None:
        running = Deferred.fromCoroutine(_run(reactor, role))
        running.addErrback(lambda failure: failure.printTraceback(sys.stderr))
        running.addBoth(lambda _: end())

    def end() -> None:
        sys.stdout.flush()
        sys.stderr.flush()
        os._exit(0)

    reactor.callWhenRunning(begin)
    reactor.run()


if __name__ == "__main__":
    main(sys.argv[1])
