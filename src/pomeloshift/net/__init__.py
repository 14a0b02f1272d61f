"""Sockets, clocks and clients that carry the cores' events and effects."""

from ._clock import Clock, SystemClock
from ._reactor import install_reactor

__all__ = ["Clock", "SystemClock", "install_reactor"]
