"""Chooses the backend server for a request."""

from ._config import RouterConfig
from ._messages import Route, RouteQuery
from ._rendezvous import top_names
from ._router import Router

__all__ = ["Route", "RouteQuery", "Router", "RouterConfig", "top_names"]
