"""Issues, revokes and rotates keys, each by a change of the configuration."""

from collections.abc import Callable

import attrs

from ..config import (
    ApiKeyConfig,
    ConfigConflictError,
    Configuration,
    OperatorKeyConfig,
    format_token,
    make_api_key,
    make_operator_key,
)
from ..net._http import InvalidRequestError
from ._access import AdminNotFoundError, Role
from ._config_service import ConfigPublisher
from ._messages import IssueAnswer, IssueRequest, KeyList, KeyView

MAX_CONFLICTS = 10
KEY_ID_PREFIX = "k"
KEY_ID_LENGTH = 12
SALT_LENGTH = 16

AnyKey = ApiKeyConfig | OperatorKeyConfig
Change = Callable[[Configuration], Configuration]


class KeyAdmin:
    """Operations on keys for operators.

    ``new_secret`` returns long random hexadecimal text. Key changes are independent of
    each other, so a change that conflicts with another publication is retried on the
    new version, at most `MAX_CONFLICTS` times.
    """

    def __init__(self, service: ConfigPublisher, new_secret: Callable[[], str]) -> None:
        self._service = service
        self._new_secret = new_secret

    def list(self) -> KeyList:
        """Returns all keys in force, without salts and digests."""
        cfg = self._in_force()
        callers = [
            KeyView(k.key_id, workspace=k.workspace, issued_by=k.issued_by)
            for k in cfg.api_keys
        ]
        operators = [
            KeyView(k.key_id, operator=k.operator, role=k.role, issued_by=k.issued_by)
            for k in cfg.operator_keys
        ]
        return KeyList(tuple(callers + operators))

    async def issue(self, author: str, req: IssueRequest) -> IssueAnswer:
        """Adds a key of a workspace or a token of an operator."""
        self._check(req)
        return await self._replace(author, req, "")

    async def revoke(self, author: str, key_id: str) -> int:
        """Removes a key permanently and returns the version without it."""
        return await self._change(
            author, f"revoke {key_id}", lambda cfg: _without(cfg, key_id)
        )

    async def rotate(self, author: str, key_id: str) -> IssueAnswer:
        """Replaces a key with a new one and revokes the old one."""
        key = self._find(key_id)
        if isinstance(key, ApiKeyConfig):
            req = IssueRequest(workspace=key.workspace)
        else:
            req = IssueRequest(operator=key.operator, role=key.role)
        return await self._replace(author, req, key_id)

    async def _replace(
        self, author: str, req: IssueRequest, old_id: str
    ) -> IssueAnswer:
        key_id = KEY_ID_PREFIX + self._new_secret()[:KEY_ID_LENGTH]
        secret = self._new_secret()
        salt = self._new_secret()[:SALT_LENGTH]

        def change(cfg: Configuration) -> Configuration:
            if old_id:
                cfg = _without(cfg, old_id)
            return _with_key(cfg, req, key_id, secret, salt, author)

        action = f"rotate {old_id} to" if old_id else "issue"
        version = await self._change(author, f"{action} {key_id}", change)
        return IssueAnswer(key_id, format_token(key_id, secret), version)

    async def _change(self, author: str, note: str, change: Change) -> int:
        for _ in range(MAX_CONFLICTS):
            cfg = change(self._in_force())
            base = self._service.version
            try:
                return await self._service.publish(cfg, base, author, note)
            except ConfigConflictError as exc:
                conflict = exc
                await self._service.refresh()
        raise conflict

    def _check(self, req: IssueRequest) -> None:
        if bool(req.workspace) == bool(req.operator):
            raise InvalidRequestError("give either a workspace or an operator")
        if req.workspace and self._in_force().workspace(req.workspace) is None:
            raise AdminNotFoundError(f"there is no workspace {req.workspace!r}")
        if req.role not in [role.value for role in Role]:
            raise InvalidRequestError(f"there is no role {req.role!r}")

    def _find(self, key_id: str) -> AnyKey:
        cfg = self._in_force()
        for key in _all_keys(cfg):
            if key.key_id == key_id:
                return key
        raise AdminNotFoundError(f"there is no key {key_id!r}")

    def _in_force(self) -> Configuration:
        cfg = self._service.current
        if cfg is None:
            raise AdminNotFoundError("no configuration has been published yet")
        return cfg


def _all_keys(cfg: Configuration) -> tuple[AnyKey, ...]:
    return (*cfg.api_keys, *cfg.operator_keys)


def _without(cfg: Configuration, key_id: str) -> Configuration:
    if all(key.key_id != key_id for key in _all_keys(cfg)):
        raise AdminNotFoundError(f"there is no key {key_id!r}")
    return attrs.evolve(
        cfg,
        api_keys=tuple(k for k in cfg.api_keys if k.key_id != key_id),
        operator_keys=tuple(k for k in cfg.operator_keys if k.key_id != key_id),
        revoked_keys=(*cfg.revoked_keys, key_id),
    )


def _with_key(
    cfg: Configuration,
    req: IssueRequest,
    key_id: str,
    secret: str,
    salt: str,
    author: str,
) -> Configuration:
    if req.workspace:
        caller = make_api_key(key_id, req.workspace, secret, salt=salt)
        caller = attrs.evolve(caller, issued_by=author)
        return attrs.evolve(cfg, api_keys=(*cfg.api_keys, caller))
    token = make_operator_key(key_id, req.operator, req.role, secret, salt=salt)
    token = attrs.evolve(token, issued_by=author)
    return attrs.evolve(cfg, operator_keys=(*cfg.operator_keys, token))
