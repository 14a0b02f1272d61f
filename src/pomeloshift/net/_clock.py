"""Clocks of the shells; cores are given the time by their caller."""

import time
from typing import Protocol


class Clock(Protocol):
    """Two readings of the time, both in seconds."""

    def monotonic(self) -> float:
        """Returns a time that never steps, for timeouts and leases."""

    def wall(self) -> float:
        """Returns the time since the epoch, for records that people read."""


class SystemClock:
    """The clock of the operating system."""

    def monotonic(self) -> float:
        """Returns the monotonic time in seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Returns the seconds since the epoch."""
        return time.time()
