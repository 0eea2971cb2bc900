"""Tests of damaged, misdirected and oversized responses of workers."""

from concurrent import futures
import dataclasses
import unittest

from persimmonpath import errors
from persimmonpath import httpworkers
from persimmonpath import outcomes
from persimmonpath import wire
from persimmonpath import workers
from tests import contracts
from tests.standins import server

ANSWER = b"whole answer"
RECORD = workers.AttemptRecord(
    "a#1",
    1,
    workers.AttemptState.SUCCEEDED,
    answer=ANSWER,
    length=len(ANSWER),
    checksum=outcomes.compute_checksum(ANSWER),
)


class FixedWorker(server.Application):
    """Returns the same body for every call."""

    def __init__(self):
        self.body = b""

    def answer(self, method, path, query, body):
        return 200, self.body


class HttpWorkerTest(unittest.TestCase):
    def setUp(self):
        self.worker = FixedWorker()
        running = contracts.RunningStandIn(self.worker)
        self.addCleanup(running.stop)
        pool = futures.ThreadPoolExecutor(2)
        self.addCleanup(pool.shutdown)
        self.client = httpworkers.create_http_worker(
            "127.0.0.1", running.port, pool, pool
        )
        self.addCleanup(self.client.disconnect)

    def close(self, body):
        self.worker.body = body
        return self.client.close("a#1", 1, 5.0).result(9)

    def test_undamaged_answer_is_accepted(self):
        self.assertEqual(self.close(wire.encode(RECORD)).unwrap(), RECORD)

    def test_invalid_responses_count_as_no_answer(self):
        """An invalid response doesn't tell the state of the attempt."""
        bodies = {
            "another attempt": dataclasses.replace(RECORD, attempt="b#1"),
            "changed": dataclasses.replace(RECORD, answer=ANSWER[::-1]),
            "cut": dataclasses.replace(RECORD, answer=ANSWER[:-1]),
            "wrong length": dataclasses.replace(RECORD, length=1),
        }
        encoded = {name: wire.encode(r) for name, r in bodies.items()}
        encoded["cut JSON"] = wire.encode(RECORD)[:-5]
        encoded["too large"] = b" " * (httpworkers.MAX_RECORD_BYTES + 1)
        for name, body in encoded.items():
            with self.subTest(name):
                error = self.close(body).failure()
                self.assertIsInstance(error, errors.WorkerUnreachableError)
        self.assertEqual(self.close(wire.encode(RECORD)).unwrap(), RECORD)
