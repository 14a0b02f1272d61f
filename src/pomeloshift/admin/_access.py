"""Roles of operators, and the errors of access to the administration API."""

from enum import Enum

from ..errors import ErrorCode, PomeloshiftError, Ran


class Role(Enum):
    """A role; each one includes the permissions of those before it."""

    VIEWER = "viewer"
    OPERATOR = "operator"
    ADMIN = "admin"

    def includes(self, other: "Role") -> bool:
        """Returns whether this role has all permissions of ``other``."""
        ranks = list(Role)
        return ranks.index(self) >= ranks.index(other)


class RoleError(PomeloshiftError):
    """The operator's role does not allow this request."""

    code = ErrorCode.FORBIDDEN
    ran = Ran.NO


class AdminNotFoundError(PomeloshiftError):
    """No object has the name or id of the request, or there is no such path."""

    code = ErrorCode.NOT_FOUND
    ran = Ran.NO


class NoSloAccountingError(PomeloshiftError):
    """This entry does no SLO accounting."""

    code = ErrorCode.NOT_READY
    ran = Ran.NO
