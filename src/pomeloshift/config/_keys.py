"""Makes the records under which keys of callers and operators are kept."""

import hashlib

from ._configuration import ApiKeyConfig, OperatorKeyConfig


def digest_key(salt: str, secret: str) -> str:
    """Returns the salted digest under which a key is kept.

    Keys are long and random, so that one round of a fast hash is enough.
    """
    return hashlib.sha256(f"{salt}:{secret}".encode()).hexdigest()


def make_api_key(
    key_id: str, workspace: str, secret: str, *, salt: str
) -> ApiKeyConfig:
    """Returns the record of a caller's key.

    make_api_key("k1", "foremen", "a long secret", salt="random")

    The caller sends `format_token` of the id and the secret.
    """
    return ApiKeyConfig(key_id, workspace, salt, digest_key(salt, secret))


def make_operator_key(
    key_id: str, operator: str, role: str, secret: str, *, salt: str
) -> OperatorKeyConfig:
    """Returns the record of an operator's token with its role."""
    digest = digest_key(salt, secret)
    return OperatorKeyConfig(key_id, operator, role, salt, digest)


def format_token(key_id: str, secret: str) -> str:
    """Returns the bearer token that carries a key."""
    return f"{key_id}.{secret}"
