"""TCP forwarder that can stall, refuse or close connections."""

import socket
import threading

CHUNK_BYTES = 1 << 16


class Forwarder:
    """Forwards the connections of a local port to another one.

    Attributes:
        mode: `pass`, `refuse` (new connections are closed at once), `stall`
            (connections stay open, data is discarded), or `stall_open` (data
            of the connections that are open at the change is discarded for
            good; new ones work).
        port: Port on which the forwarder listens.
    """

    def __init__(self, target_port):
        self.mode = "pass"
        self._target = ("127.0.0.1", target_port)
        self._stalled = set()
        self._open_sockets = set()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def set_mode(self, mode):
        """Sets the mode; `drop` closes open connections and sets `refuse`."""
        if mode == "stall_open":
            self._stalled |= self._open_sockets
        if mode == "drop":
            for sock in list(self._open_sockets):
                sock.close()
        self.mode = "refuse" if mode == "drop" else mode

    def close(self):
        """Closes the listener and every connection."""
        self.mode = "refuse"
        self._listener.close()
        for sock in list(self._open_sockets):
            sock.close()

    def _accept(self):
        while True:
            try:
                client_socket, _ = self._listener.accept()
            except OSError:
                return
            if self.mode == "refuse":
                client_socket.close()
                continue
            try:
                target_socket = socket.create_connection(self._target, 2.0)
            except OSError:
                client_socket.close()
                continue
            target_socket.settimeout(None)
            self._open_sockets |= {client_socket, target_socket}
            for source, sink in (
                (client_socket, target_socket),
                (target_socket, client_socket),
            ):
                threading.Thread(
                    target=self._copy, args=(source, sink), daemon=True
                ).start()

    def _copy(self, source, sink):
        try:
            while data := source.recv(CHUNK_BYTES):
                if self.mode != "stall" and source not in self._stalled:
                    sink.sendall(data)
        except OSError:
            pass
        finally:
            self._open_sockets -= {source, sink}
            for sock in (source, sink):
                sock.close()
