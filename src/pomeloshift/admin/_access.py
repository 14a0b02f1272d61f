"""What each role of operators may do."""

from enum import Enum

from ..errors import ErrorCode, PomeloshiftError, Ran


class Role(Enum):
    """A role; each includes those before it."""

    VIEWER = "viewer"
    OPERATOR = "operator"
    ADMIN = "admin"

    def includes(self, other: "Role") -> bool:
        """Tells whether this role may do what ``other`` may."""
        ranks = list(Role)
        return ranks.index(self) >= ranks.index(other)


class RoleError(PomeloshiftError):
    """The operator's role does not allow this request."""

    code = ErrorCode.FORBIDDEN
    ran = Ran.NO


class AdminNotFoundError(PomeloshiftError):
    """There is nothing of that name."""

    code = ErrorCode.NOT_FOUND
    ran = Ran.NO


class NoAccountError(PomeloshiftError):
    """This entry keeps no account of objectives."""

    code = ErrorCode.NOT_READY
    ran = Ran.NO
