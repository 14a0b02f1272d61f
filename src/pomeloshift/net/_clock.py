"""Clocks for the I/O layer; decision cores receive the time as an argument."""

import time
from typing import Protocol


class Clock(Protocol):
    """A monotonic clock and a wall clock, both in seconds."""

    def monotonic(self) -> float:
        """Returns the monotonic time, for timeouts and leases."""

    def wall(self) -> float:
        """Returns the time since the epoch, for timestamps that people read."""


class SystemClock:
    """The clock of the operating system.

    The monotonic time stands still while the machine is suspended; `boottime` is for
    leases that must expire during that time too.
    """

    def monotonic(self) -> float:
        """Returns the monotonic time in seconds."""
        return time.monotonic()

    def boottime(self) -> float:
        """Returns the seconds since the machine started, including suspended time."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Returns the seconds since the epoch."""
        return time.time()
