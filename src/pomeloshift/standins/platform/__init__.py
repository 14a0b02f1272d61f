"""Stand-ins of the users' platform: its store and its engines."""

from ._engine_server import Behaviour, EngineServer, Seen
from ._store_server import StoreServer
from ._store_state import Partition, StoreState

__all__ = [
    "Behaviour",
    "EngineServer",
    "Partition",
    "Seen",
    "StoreServer",
    "StoreState",
]
