import socket
import threading


class Relay:
    """A TCP relay whose open connections can be made silent for good.

    Silent connections stay open at both ends and carry nothing; new ones work.
    """

    def __init__(self, address, target_host):
        host, port = address.rsplit(":", 1)
        self._target = (target_host, int(port))
        self._silent = set()
        self._open = []
        self._lock = threading.Lock()
        self._listener = socket.create_server((host, int(port)))
        self.dropped = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def silence(self):
        """Makes the connections that are open now silent; returns their number."""
        with self._lock:
            self._silent.update(self._open)
            return len(self._open)

    def close(self):
        with self._lock:
            sockets = [end for pair in self._open for end in pair]
        for end in (self._listener, *sockets):
            end.close()

    def _accept(self):
        while True:
            try:
                near, _ = self._listener.accept()
                far = socket.create_connection(self._target)
            except OSError:
                return
            pair = (near, far)
            with self._lock:
                self._open.append(pair)
            for source, target in (pair, pair[::-1]):
                arguments = (pair, source, target)
                threading.Thread(target=self._copy, args=arguments, daemon=True).start()

    def _copy(self, pair, source, target):
        try:
            while data := source.recv(65536):
                if pair in self._silent:
                    self.dropped += len(data)
                else:
                    target.sendall(data)
            if pair not in self._silent:
                target.shutdown(socket.SHUT_WR)
        except OSError:
            if pair not in self._silent:
                source.close()
                target.close()
