"""Untrusted callers on raw sockets, driven by a thread of the test's process."""

import selectors
import socket
import threading
import time

QUIET_S = 1.5  # without a byte sent, the callers have sent what they may
LIMIT_S = 25.0  # longer than any crowd takes that is not held back
TICK_S = 0.1


class Crowd:
    """Connections that each send a payload, in pieces, and then stay open.

    They read nothing until `close`, and note which were closed by the gateway.
    """

    def __init__(self, address, payloads, piece=1 << 20, gap_s=0.0):
        host, _, port = address.rpartition(":")
        self._address = host, int(port)
        self._payloads = payloads
        self._piece = piece
        self._gap_s = gap_s
        self._sockets = []
        self._thread = threading.Thread(target=self._send, daemon=True)

    def start(self):
        self._thread.start()

    @property
    def is_sending(self):
        return self._thread.is_alive()

    def close(self):
        self._thread.join()
        for sock in self._sockets:
            sock.close()

    def _send(self):
        selector = selectors.DefaultSelector()
        for payload in self._payloads:
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(self._address)
            self._sockets.append(sock)
            selector.register(sock, selectors.EVENT_WRITE, [memoryview(payload)])
        began = sent_at = time.monotonic()
        while selector.get_map():
            now = time.monotonic()
            if now - sent_at > QUIET_S or now - began > LIMIT_S:
                return
            for key, _ in selector.select(TICK_S):
                if self._send_piece(selector, key):
                    sent_at = time.monotonic()
            if self._gap_s:
                time.sleep(self._gap_s)

    def _send_piece(self, selector, key):
        """Sends a piece; returns whether bytes were taken."""
        rest = key.data[0]
        try:
            sent = key.fileobj.send(rest[: self._piece])
        except BlockingIOError:
            return False
        except OSError:
            selector.unregister(key.fileobj)
            return False
        key.data[0] = rest[sent:]
        if not key.data[0]:
            selector.unregister(key.fileobj)
        return True


def request(target, body_fields, body=b"", method="POST"):
    head = f"{method} {target} HTTP/1.1\r\nHost: app.example\r\n{body_fields}\r\n"
    return head.encode() + body


def chunked(body, size):
    """Returns a body in chunks, without the last one that would end it."""
    return b"".join(
        b"%x\r\n%s\r\n" % (len(part), part)
        for part in (body[at : at + size] for at in range(0, len(body), size))
    )
