"""Authenticates callers and operators by their keys."""

import hmac
from collections.abc import Callable
from typing import TypeVar

from ..config import ApiKeyConfig, Configuration, OperatorKeyConfig, digest_key
from ..net._auth_errors import UnauthenticatedError

BEARER_PREFIX = "Bearer "


class Authenticator:
    """Checks keys of the form ``<key id>.<secret>`` against the configuration.

    ``current`` returns the configuration in force, or `None` before there is one.
    """

    def __init__(self, current: Callable[[], Configuration | None]) -> None:
        self._current = current

    def workspace_for(self, authorization: str | None) -> str:
        """Returns the workspace of a caller; raises `UnauthenticatedError`."""
        cfg = self._current()
        keys = cfg.api_keys if cfg is not None else ()
        return _match(keys, authorization).workspace

    def operator_for(self, authorization: str | None) -> OperatorKeyConfig:
        """Returns the operator's key record; raises `UnauthenticatedError`."""
        cfg = self._current()
        keys = cfg.operator_keys if cfg is not None else ()
        return _match(keys, authorization)


Key = TypeVar("Key", ApiKeyConfig, OperatorKeyConfig)


def _match(keys: tuple[Key, ...], authorization: str | None) -> Key:
    if not authorization or not authorization.startswith(BEARER_PREFIX):
        raise UnauthenticatedError("the request carries no bearer key")
    key_id, _, secret = authorization.removeprefix(BEARER_PREFIX).partition(".")
    for key in keys:
        if key.key_id == key_id:
            digest = digest_key(key.salt, secret)
            if hmac.compare_digest(digest, key.digest):
                return key
    raise UnauthenticatedError("the key is not valid")
