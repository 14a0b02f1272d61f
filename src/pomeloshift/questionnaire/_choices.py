"""Answers with a fixed set of values."""

from enum import Enum


class Consequence(Enum):
    """The consequence of a late response or job for the business."""

    NUISANCE = "nuisance"
    COSTLY = "costly"
    UNACCEPTABLE = "unacceptable"

    @property
    def level(self) -> int:
        """The severity, from 0 (nuisance) to 2 (unacceptable)."""
        return list(Consequence).index(self)


class Importance(Enum):
    """The importance of a workspace when capacity is short."""

    LOW = "low"
    NORMAL = "normal"
    HIGH = "high"


class Role(Enum):
    """The role of an operator; it has the values of the administration API's roles."""

    VIEWER = "viewer"
    OPERATOR = "operator"
    ADMIN = "admin"
