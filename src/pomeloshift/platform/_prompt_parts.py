"""Reads which parts of its prompt a request may share with others."""

import hashlib
import re

from ._names import PROMPT_PARTS

# A longer list names only its first parts, and a longer id is replaced by its digest:
# both are kept for each request that runs while an engine crashes.
MAX_PARTS = 32
MAX_ID_CHARS = 32
ID_DIGEST_BYTES = 16
ID = re.compile(rf"[0-9a-f]{{1,{MAX_ID_CHARS}}}")


def shared_parts(value: str) -> tuple[str, ...]:
    """Returns the ids of the parts that other requests may share, in order.

    ``value`` lists all parts of a prompt as ID:TOKENS. The last part belongs to the
    request or its session alone and is left out. Ids are hexadecimal numbers, returned
    in lower case.

        shared_parts("5c1e07a2:800,91bd3f06:410,e4402b7d:250")
        # ("5c1e07a2", "91bd3f06")
    """
    entries = [entry.strip() for entry in value.split(",")]
    ids = (entry.partition(":")[0].strip().lower() for entry in entries[:-1])
    return tuple(dict.fromkeys(_bounded(part) for part in ids if part))[:MAX_PARTS]


def item_parts(headers: tuple[tuple[str, str], ...]) -> tuple[str, ...]:
    """Returns the `shared_parts` of a job's item with these headers."""
    name = PROMPT_PARTS.decode()
    values = (value for key, value in headers if key.lower() == name)
    return shared_parts(next(values, ""))


def _bounded(part: str) -> str:
    if ID.fullmatch(part):
        return part
    return hashlib.blake2b(part.encode(), digest_size=ID_DIGEST_BYTES).hexdigest()
