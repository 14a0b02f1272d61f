"""Generates keys on the operator's machine."""

import secrets

import attrs

from ..config import digest_key, format_token
from ..questionnaire import KeyAnswers

SECRET_BYTES = 32
SALT_BYTES = 8


@attrs.frozen
class NewKey:
    """A key for a questionnaire and the token that its holder sends."""

    answers: KeyAnswers
    token: str


def make_key(key_id: str) -> NewKey:
    """Returns a new key with a random secret and salt."""
    secret = secrets.token_hex(SECRET_BYTES)
    salt = secrets.token_hex(SALT_BYTES)
    answers = KeyAnswers(key_id, salt, digest_key(salt, secret))
    return NewKey(answers, format_token(key_id, secret))
