"""Answers that are chosen from a short list."""

from enum import Enum


class Consequence(Enum):
    """What it means for the business when something is late."""

    NUISANCE = "nuisance"
    COSTLY = "costly"
    UNACCEPTABLE = "unacceptable"

    @property
    def level(self) -> int:
        """The rank from 0, the mildest, to 2."""
        return list(Consequence).index(self)


class Importance(Enum):
    """The rank of a workspace when there is not room for all."""

    LOW = "low"
    NORMAL = "normal"
    HIGH = "high"


class Role(Enum):
    """What an operator may do."""

    VIEWER = "viewer"
    OPERATOR = "operator"
    ADMIN = "admin"
