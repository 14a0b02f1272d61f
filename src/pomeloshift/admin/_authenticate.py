"""Authenticates the operators that send requests."""

import hmac
from typing import Protocol

from ..config import OperatorKeyConfig
from ._access import Role
from ._operator import Operator

INTERNAL_OPERATOR = "internal"


class OperatorAuth(Protocol):
    """Checks operators' tokens. The entry's authenticator implements this protocol."""

    def operator_for(self, authorization: str | None) -> OperatorKeyConfig:
        """Returns the token's record or raises an ``unauthenticated`` error."""


class OperatorAuthenticator:
    """Authenticates operators by their tokens, and processes by the internal key.

    Before the first configuration there are no operators. The internal key, which
    all processes share, then has the role admin so that a configuration can be
    published. Afterwards it has the role viewer, with which entries read each other's
    counts of requests.
    """

    def __init__(self, auth: OperatorAuth, internal_key: str) -> None:
        self._auth = auth
        self._internal_key = internal_key

    def identify(self, authorization: str | None, version: int) -> Operator:
        """Returns the operator; ``version`` is the configuration version in force."""
        if self._is_internal(authorization):
            role = Role.ADMIN if version == 0 else Role.VIEWER
            return Operator(INTERNAL_OPERATOR, role)
        key = self._auth.operator_for(authorization)
        return Operator(key.operator, Role(key.role))

    def _is_internal(self, authorization: str | None) -> bool:
        expected = f"Bearer {self._internal_key}"
        given = authorization or ""
        return bool(self._internal_key) and hmac.compare_digest(
            given.encode(), expected.encode()
        )
