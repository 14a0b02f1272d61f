"""Routing core of an entry: chooses the backend server for a request.

It does no I/O: the caller passes in sidecar reports, the instance list and the time.
"""

from ._config import RouterConfig
from ._messages import RouteChoice, RouteQuery
from ._rendezvous import top_names
from ._router import Router

__all__ = ["RouteChoice", "RouteQuery", "Router", "RouterConfig", "top_names"]
