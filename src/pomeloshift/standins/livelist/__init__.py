"""A stand-in for the platform's instance list, which shows changes with a lag."""

from ._model import ListModel
from ._server import LiveListServer
from ._settings import ListSettings

__all__ = ["ListModel", "ListSettings", "LiveListServer"]
