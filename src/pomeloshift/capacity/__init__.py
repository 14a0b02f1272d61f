"""What an entry learns about engines that differ in speed.

It holds decisions only; `gateway/_engine_capacity.py` feeds it with measured times.
"""

from ._capacity_table import WARM_UP_S, CapacityTable
from ._engine_capacity import EngineCapacity
from ._engine_memory import EngineMemory
from ._log_line import LogLine
from ._service_curve import ServiceCurve
from ._slowdown import Slowdown

__all__ = [
    "WARM_UP_S",
    "CapacityTable",
    "EngineCapacity",
    "EngineMemory",
    "LogLine",
    "ServiceCurve",
    "Slowdown",
]
