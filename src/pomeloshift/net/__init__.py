"""The I/O layer that the processes share: reactor, clocks, servers and clients."""

from ._clock import Clock, SystemClock
from ._reactor import install_reactor

__all__ = ["Clock", "SystemClock", "install_reactor"]
