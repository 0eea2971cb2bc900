"""Tests of the daemon's HTTP port against clients that aren't trusted."""

import dataclasses
import json
import pathlib
import socket
import threading
import time
import unittest
from unittest import mock

from persimmonpath import httplimits
from persimmonpath_daemon import httpserver
from tests import inprocessentry

HEAD = b"POST /v1/ids HTTP/1.1\r\nHost: x\r\n"
ANSWER_S = 20.0
CLIENTS = 48
GROWTH_MB = 40


class UntrustedClientTest(unittest.TestCase):
    """One daemon with lowered limits."""

    @classmethod
    def setUpClass(cls):
        cls.cell = inprocessentry.InProcessEntry()
        cls.addClassCleanup(cls.cell.stop)
        cls.cell.server.limits = dataclasses.replace(
            httplimits.HttpLimits(),
            head_bytes=8000,
            head_lines=200,
            target_bytes=4000,
            head_s=1.0,
            body_s=1.0,
        )
        cls.cell.server.max_request_header_size = 8000

    def connect(self):
        """Opens a connection that is closed after the test."""
        host, _, port = self.cell.address.partition(":")
        connection = socket.create_connection((host, int(port)), ANSWER_S)
        self.addCleanup(connection.close)
        return connection

    def exchange(self, data, ends=False):
        """Returns all that is answered until the server closes."""
        connection = self.connect()
        connection.sendall(data)
        if ends:
            connection.shutdown(socket.SHUT_WR)
        reply = b""
        while chunk := connection.recv(65536):
            reply += chunk
        return reply

    def check_served(self):
        """Checks that an ordinary call is answered."""
        self.assertEqual(self.cell.call("GET", "/healthz")[0], 200)

    def test_a_call_outside_the_limits_is_answered(self):
        """Heads of any size and with any bytes were taken."""
        length = HEAD + b"Content-Length: 2\r\n"
        cases = [
            (431, HEAD + b"X: " + b"a" * 9000),
            (431, HEAD + b"".join(b"%x:\r\n" % n for n in range(201))),
            (414, b"GET /" + b"a" * 4001 + b" HTTP/1.1\r\n\r\n"),
            (408, HEAD),
            (408, length + b"\r\n{"),
            (400, length + b"Content-Length: 2\r\n\r\n{}"),
            (400, length + b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
            (400, HEAD + b"Host: y\r\n\r\n"),
            (400, HEAD + b"X: a\0b\r\n\r\n"),
            (400, HEAD + b"X: a\x7fb\r\n\r\n"),
            (400, b"GET /\x01 HTTP/1.1\r\n\r\n"),
            (400, b"GET / HTTP/1.1\nHost: x\n\n"),
            (400, b"\r\n" * 1000),
        ]
        for status, data in cases:
            with self.subTest(data[:100]):
                reply = self.exchange(data)
                self.assertEqual(int(reply.split()[1]), status, reply)
                json.loads(reply.partition(b"\r\n\r\n")[2])
        self.check_served()

    def test_lines_beyond_the_limit_are_not_parsed(self):
        """Heads of many lines kept all threads busy for seconds."""
        head = HEAD + b"".join(b"%x:\r\n" % n for n in range(300)) + b"\r\n"
        parsed = []
        set_field = httpserver._Fields.__setitem__

        def count_and_set(fields, name, value):
            parsed.append(name)
            set_field(fields, name, value)

        with mock.patch.object(
            httpserver._Fields, "__setitem__", count_and_set
        ):
            reply = self.exchange(head)
        self.assertIn(b" 431 ", reply)
        self.assertEqual(parsed, [])

    def test_a_head_of_legal_lines_is_served(self):
        head = HEAD + b"Connection: close\r\nContent-Length: 2\r\n"
        head += b"".join(b"%x:\r\n" % n for n in range(197))
        self.assertIn(b" 200 ", self.exchange(b"\r\n" + head + b"\r\n{}"))

    def test_a_head_that_drips_in_is_rejected(self):
        """Each byte restarted the timeout, and the thread stayed occupied."""
        connection = self.connect()
        connection.sendall(HEAD + b"X: ")
        connection.settimeout(0.1)
        deadline = time.monotonic() + ANSWER_S
        reply = b""
        while not reply and time.monotonic() < deadline:
            connection.sendall(b"a")
            try:
                reply = connection.recv(65536)
            except TimeoutError:
                continue
        self.assertIn(b" 408 ", reply)

    def test_clients_that_send_nothing_occupy_no_thread(self):
        for _ in range(100):
            self.connect()
        self.check_served()
        self.assertGreater(self.cell.server.requests.idle, 8)

    def test_bodies_beyond_the_budget_are_rejected(self):
        """Every thread took a body of the largest size."""
        bodies = self.cell.application._bodies
        self.assertTrue(bodies.acquire(64 << 20))
        try:
            reply = self.exchange(HEAD + b"Content-Length: 2\r\n\r\n{}")
        finally:
            bodies.release(64 << 20)
        self.assertIn(b" 503 ", reply)
        self.check_served()

    def test_endless_heads_and_chunks_take_no_memory(self):
        before = self._read_peak_mb()
        chunk = HEAD + (
            b"Transfer-Encoding: chunked\r\nContent-Length: 9\r\n\r\n"
            b"fffffff\r\n"
        )
        threads = [
            threading.Thread(target=self._send_endless, args=(start,))
            for start in (HEAD + b"X: ", b"GET /", chunk)
            for _ in range(CLIENTS // 3)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertLess(self._read_peak_mb() - before, GROWTH_MB)
        self.check_served()

    def _send_endless(self, start):
        connection = self.connect()
        block = b"a" * 65536
        try:
            connection.sendall(start)
            for _ in range(150):
                connection.sendall(block)
        except OSError:
            return

    def _read_peak_mb(self):
        status = pathlib.Path("/proc/self/status").read_text()
        return int(status.partition("VmHWM:")[2].split()[0]) / 1024

    def test_upgrade_half_close_and_expect(self):
        data = HEAD + b"Connection: close, Upgrade\r\nUpgrade: h2c\r\n"
        data += b"Content-Length: 2\r\n\r\n{}"
        self.assertIn(b" 200 ", self.exchange(data, ends=True))
        data = HEAD + b"Connection: close\r\nExpect: 100-continue\r\n"
        data += b"Content-Length: 2\r\n\r\n{}"
        self.assertRegex(self.exchange(data), rb"^HTTP/1.1 100 [^$]* 200 ")
