"""Helpers for contract tests that run over HTTP and in memory."""

import threading

from scripts import ports
from tests.standins import server


class RunningStandIn:
    """Serves a stand-in application in a thread of this process."""

    def __init__(self, application):
        self.port = ports.reserve_ports(1)[0]
        self._server = server.create_server(application, self.port, threads=8)
        self._server.prepare()
        threading.Thread(target=self._server.serve, daemon=True).start()

    @property
    def url(self):
        return f"http://127.0.0.1:{self.port}"

    def stop(self):
        self._server.stop()
