"""Identifies a request that comes again under another id."""

import hashlib

DIGEST_BYTES = 16


def fingerprint(host: str, path: str, body: bytes) -> str:
    """Returns a digest of what a request has in common with its retries.

    Retries can differ in the method, the query and the headers.

        fingerprint("App.example", "/a", b"x") == fingerprint("app.example", "/a", b"x")
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (host.lower().encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
