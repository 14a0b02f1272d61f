"""Chooses the backend server for a request."""

from ._config import RouterConfig
from ._messages import RouteChoice, RouteQuery
from ._rendezvous import top_names
from ._router import Router

__all__ = ["RouteChoice", "RouteQuery", "Router", "RouterConfig", "top_names"]
