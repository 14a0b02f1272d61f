"""Stand-ins for the platform's store and its engines, as the gateway calls them."""

from ._engine_server import Behaviour, EngineServer, ReceivedRequest
from ._store_server import StoreServer
from ._store_state import Partition, StoreState

__all__ = [
    "Behaviour",
    "EngineServer",
    "Partition",
    "ReceivedRequest",
    "StoreServer",
    "StoreState",
]
