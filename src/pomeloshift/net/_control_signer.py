"""Authenticates control messages with the key that the system's processes share."""

import hashlib
import hmac
import secrets
from collections import OrderedDict

from ._control_errors import SignatureError

MAC_BYTES = 16
NONCE_BYTES = 16
MAX_REMEMBERED_NONCES = 4096
REQUEST = b"request"
REPLY = b"answer"


class ControlSigner:
    """Signs control messages with a keyed digest and verifies these signatures.

    A request contains a random nonce. The signature of its reply covers that nonce,
    so that a reply to another request is rejected:

        signer = ControlSigner(key)
        nonce = signer.make_nonce()
        data = signer.sign_request(nonce, body)
        nonce, body = signer.verify_request(data)
        answer = signer.sign_reply(nonce, answer_body)
        answer_body = signer.verify_reply(nonce, answer)

    The ``verify`` methods raise `SignatureError`.
    """

    def __init__(self, key: bytes) -> None:
        self._key = hashlib.sha256(key).digest()

    def make_nonce(self) -> bytes:
        """Returns a random nonce for a new request."""
        return secrets.token_bytes(NONCE_BYTES)

    def sign_request(self, nonce: bytes, body: bytes) -> bytes:
        """Returns the bytes of the signed request: signature, nonce, body."""
        return self._digest(REQUEST, nonce, body) + nonce + body

    def verify_request(self, data: bytes) -> tuple[bytes, bytes]:
        """Returns nonce and body of a request after verifying its signature."""
        nonce = data[MAC_BYTES : MAC_BYTES + NONCE_BYTES]
        body = data[MAC_BYTES + NONCE_BYTES :]
        if len(nonce) != NONCE_BYTES:
            raise SignatureError("control message too short")
        self._check(data[:MAC_BYTES], self._digest(REQUEST, nonce, body))
        return nonce, body

    def sign_reply(self, nonce: bytes, body: bytes) -> bytes:
        """Returns the bytes of the signed reply to the request with that nonce."""
        return self._digest(REPLY, nonce, body) + body

    def verify_reply(self, nonce: bytes, data: bytes) -> bytes:
        """Returns the body of the reply to the request with that nonce."""
        body = data[MAC_BYTES:]
        self._check(data[:MAC_BYTES], self._digest(REPLY, nonce, body))
        return body

    def _digest(self, direction: bytes, nonce: bytes, body: bytes) -> bytes:
        digest = hashlib.blake2b(digest_size=MAC_BYTES, key=self._key, person=direction)
        digest.update(nonce)
        digest.update(body)
        return digest.digest()

    def _check(self, given: bytes, expected: bytes) -> None:
        if not hmac.compare_digest(given, expected):
            raise SignatureError("control message with a wrong signature")


class ReplayWindow:
    """Rejects replays of the latest `MAX_REMEMBERED_NONCES` messages."""

    def __init__(self) -> None:
        self._nonces: OrderedDict[bytes, None] = OrderedDict()

    def accept(self, nonce: bytes) -> None:
        """Remembers a nonce; raises `SignatureError` if it is remembered already."""
        if nonce in self._nonces:
            raise SignatureError("replayed control message")
        self._nonces[nonce] = None
        if len(self._nonces) > MAX_REMEMBERED_NONCES:
            self._nonces.popitem(last=False)
