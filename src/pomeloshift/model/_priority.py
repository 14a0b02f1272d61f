"""The two classes of work."""

from enum import Enum


class Priority(Enum):
    """Online work is always served before batch work."""

    ONLINE = "online"
    BATCH = "batch"
