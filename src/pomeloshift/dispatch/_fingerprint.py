"""Identifies a request that comes again under another id."""

import hashlib

DIGEST_BYTES = 16


def fingerprint(method: str, host: str, target: bytes, body: bytes) -> str:
    """Returns a digest of what a request has in common with its retries.

    ``target`` is the path and the query.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (method.encode(), host.lower().encode(), target, body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
