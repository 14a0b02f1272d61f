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
ANSWER = b"answer"


class ControlSigner:
    """Puts a keyed digest in front of control messages and checks it.

    A request carries a random nonce, and its answer is bound to that nonce, so that
    an answer to another request is not taken for this one's:

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
        """Returns the nonce of a new request."""
        return secrets.token_bytes(NONCE_BYTES)

    def sign_request(self, nonce: bytes, body: bytes) -> bytes:
        """Returns a request as it crosses the connection."""
        return self._digest(REQUEST, nonce, body) + nonce + body

    def verify_request(self, data: bytes) -> tuple[bytes, bytes]:
        """Returns nonce and body of a request."""
        nonce = data[MAC_BYTES : MAC_BYTES + NONCE_BYTES]
        body = data[MAC_BYTES + NONCE_BYTES :]
        if len(nonce) != NONCE_BYTES:
            raise SignatureError("a control message is too short")
        self._check(data[:MAC_BYTES], self._digest(REQUEST, nonce, body))
        return nonce, body

    def sign_reply(self, nonce: bytes, body: bytes) -> bytes:
        """Returns the answer to the request with that nonce."""
        return self._digest(ANSWER, nonce, body) + body

    def verify_reply(self, nonce: bytes, data: bytes) -> bytes:
        """Returns the body of the answer to the request with that nonce."""
        body = data[MAC_BYTES:]
        self._check(data[:MAC_BYTES], self._digest(ANSWER, nonce, body))
        return body

    def _digest(self, direction: bytes, nonce: bytes, body: bytes) -> bytes:
        digest = hashlib.blake2b(digest_size=MAC_BYTES, key=self._key, person=direction)
        digest.update(nonce)
        digest.update(body)
        return digest.digest()

    def _check(self, given: bytes, expected: bytes) -> None:
        if not hmac.compare_digest(given, expected):
            raise SignatureError("a control message has a wrong digest")


class ReplayWindow:
    """Remembers the latest nonces and refuses a repeat of any of them."""

    def __init__(self) -> None:
        self._nonces: OrderedDict[bytes, None] = OrderedDict()

    def accept(self, nonce: bytes) -> None:
        """Remembers a nonce; raises `SignatureError` if it came before."""
        if nonce in self._nonces:
            raise SignatureError("a control message was sent twice")
        self._nonces[nonce] = None
        if len(self._nonces) > MAX_REMEMBERED_NONCES:
            self._nonces.popitem(last=False)
