"""A stand-in for the platform's lagging list of instances."""

from ._model import ListModel
from ._server import LiveListServer
from ._settings import ListSettings

__all__ = ["ListModel", "ListSettings", "LiveListServer"]
