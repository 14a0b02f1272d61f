"""The operator behind a request."""

import attrs

from ._access import Role, RoleError


@attrs.frozen
class Operator:
    """An authenticated operator."""

    name: str
    role: Role

    def require(self, role: Role) -> None:
        """Raises `RoleError` if the operator's role does not include ``role``."""
        if not self.role.includes(role):
            raise RoleError(
                f"this needs the role {role.value}; yours is {self.role.value}"
            )
