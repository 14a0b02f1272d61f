"""The two priority classes of work: online and batch."""

from enum import Enum


class Priority(Enum):
    """The priority class of a request; online work is served before batch work."""

    ONLINE = "online"
    BATCH = "batch"
