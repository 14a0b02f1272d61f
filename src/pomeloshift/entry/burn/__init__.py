"""Keeps the account of objectives of all entries in the log."""

from ._account import RequestAccount
from ._peers import BurnPeers
from ._service import BurnService
from ._timing import BurnTiming

__all__ = ["BurnPeers", "BurnService", "BurnTiming", "RequestAccount"]
