import socket
import threading


class Relay:
    """A TCP relay that can stall its open connections permanently.

    A stalled connection stays open at both ends, but its data is dropped. Connections
    opened later work normally.
    """

    def __init__(self, address, target_host):
        host, port = address.rsplit(":", 1)
        self._target = (target_host, int(port))
        self._stalled = set()
        self._open = []
        self._lock = threading.Lock()
        self._listener = socket.create_server((host, int(port)))
        self.dropped_bytes = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def stall(self):
        """Stalls the connections that are open now; returns how many are stalled."""
        with self._lock:
            self._stalled.update(self._open)
            return len(self._open)

    def close(self):
        with self._lock:
            sockets = [end for pair in self._open for end in pair]
        for end in (self._listener, *sockets):
            end.close()

    def _accept(self):
        while True:
            try:
                client, _ = self._listener.accept()
                server = socket.create_connection(self._target)
            except OSError:
                return
            pair = (client, server)
            with self._lock:
                self._open.append(pair)
            for source, target in (pair, pair[::-1]):
                arguments = (pair, source, target)
                threading.Thread(target=self._copy, args=arguments, daemon=True).start()

    def _copy(self, pair, source, target):
        try:
            while data := source.recv(65536):
                if pair in self._stalled:
                    self.dropped_bytes += len(data)
                else:
                    target.sendall(data)
            if pair not in self._stalled:
                target.shutdown(socket.SHUT_WR)
        except OSError:
            if pair not in self._stalled:
                source.close()
                target.close()
