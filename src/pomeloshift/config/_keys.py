"""Creates the configuration records for the keys of callers and operators."""

import hashlib

from ._configuration import ApiKeyConfig, OperatorKeyConfig


def digest_key(salt: str, secret: str) -> str:
    """Returns the salted SHA-256 digest of a key in hexadecimal.

    Keys are long and random, so one round of a fast hash is enough.
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
    """Returns the bearer token of a key: its id, a dot and its secret."""
    return f"{key_id}.{secret}"
