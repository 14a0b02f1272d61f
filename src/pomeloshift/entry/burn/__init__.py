"""SLO accounting: counts requests, and stores the counts of all entries in the log."""

from ._peers import BurnPeers
from ._request_counters import RequestCounters
from ._service import BurnService
from ._timing import BurnTiming

__all__ = ["BurnPeers", "BurnService", "BurnTiming", "RequestCounters"]
