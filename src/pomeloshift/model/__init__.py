"""Types that most other packages share: instances, places, priorities and load."""

from ._instance import Instance, InstanceRole, InstanceState
from ._load_report import LoadReport
from ._place import Place
from ._priority import Priority

__all__ = [
    "Instance",
    "InstanceRole",
    "InstanceState",
    "LoadReport",
    "Place",
    "Priority",
]
