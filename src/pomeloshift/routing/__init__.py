"""Chooses the backend server for a request."""

from ._messages import Route, RouteQuery

__all__ = ["Route", "RouteQuery"]
