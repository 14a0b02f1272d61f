"""The memory budget of a gateway's callers."""

from collections.abc import Callable
from pathlib import Path
from resource import getpagesize
from typing import Any

from ..dispatch import HttpLimits
from ..http1 import Exchange, HttpListener
from ..memory import MemoryBudget, MemoryPolicy
from ..platform import PlatformSettings
from ._caller_budget import CallerBudget
from ._events import EventLog
from ._heap import return_freed_memory
from ._timing import RESERVED_DESCRIPTORS, SIDE_CONNECTIONS

# Share of the instance's memory that is kept for everything but callers and the size at
# the start: engines' responses, records, jobs, metrics.
RESERVE_SHARE = 0.2
# The least budget: a body of 4 MiB, its buffers, and some small requests.
LEAST_LIMIT = 8 * 1024 * 1024


def caller_listener(
    settings: PlatformSettings,
    reactor: Any,
    clock: Any,
    handle: Callable[[Exchange], None],
    memory: CallerBudget | None,
) -> HttpListener:
    """Returns the listener for callers.

    It leaves the descriptors for the store, engines, readiness and metrics free.
    """
    max_connections = max(64, settings.max_descriptors - RESERVED_DESCRIPTORS)
    return HttpListener(reactor, clock, handle, max_connections, memory)


def caller_budget(
    settings: PlatformSettings, reactor: Any, clock: Any, events: EventLog
) -> CallerBudget | None:
    """Returns the budget for callers, None if the instance's memory is not known."""
    if settings.memory_bytes <= 0:
        return None
    chosen = settings.caller_memory
    reserve = chosen.reserve_bytes or int(settings.memory_bytes * RESERVE_SHARE)
    resident = resident_bytes()
    limit = settings.memory_bytes - resident - reserve
    policy = MemoryPolicy(
        limit=max(LEAST_LIMIT, limit),
        max_wait_s=chosen.wait_s,
        body_rate=chosen.body_rate,
        body_pause_s=chosen.body_pause_s,
        unread_s=chosen.unread_s,
    )
    return_freed_memory()
    events.info(
        "memory_divided", callers=policy.limit, resident=resident, reserve=reserve
    )
    return CallerBudget(MemoryBudget(policy), reactor, clock, events)


def side_listener(
    reactor: Any, clock: Any, handle: Callable[[Exchange], None]
) -> HttpListener:
    """Returns a listener for readiness or metrics, whose requests have no bodies."""
    listener = HttpListener(reactor, clock, handle, SIDE_CONNECTIONS)
    listener.limits = HttpLimits(max_body_bytes=0)
    return listener


def resident_bytes() -> int:
    """Returns the process's resident memory, 0 where the system does not tell it."""
    try:
        return int(Path("/proc/self/statm").read_text().split()[1]) * getpagesize()
    except (OSError, ValueError, IndexError):
        return 0
