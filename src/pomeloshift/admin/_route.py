"""A route of the administration API with the data of its OpenAPI description."""

import attrs

from ..errors import ErrorCode
from ._access import Role

PREFIX = "/admin/v1"


@attrs.frozen
class Route:
    """One method of one path.

    ``role`` is the lowest role that may use it, `None` if no token is needed.
    ``response`` and ``request`` are the types of the bodies, ``query`` the names of
    the query parameters. ``audit`` is the name of the change in audit entries, empty
    for reads.
    """

    name: str
    method: str
    path: str
    summary: str
    role: Role | None
    response: type
    request: type | None = None
    query: tuple[str, ...] = ()
    status: int = 200
    audit: str = ""
    errors: tuple[ErrorCode, ...] = ()

    @property
    def full_path(self) -> str:
        """The path with the API's prefix."""
        return PREFIX + self.path
