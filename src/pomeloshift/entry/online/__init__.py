"""The callers' online interface and the I/O layer that runs their requests."""

from ._api import OnlineApi
from ._call_guard import CallGuard
from ._finished import FinishedRequest
from ._service import OnlineService

__all__ = ["CallGuard", "FinishedRequest", "OnlineApi", "OnlineService"]
