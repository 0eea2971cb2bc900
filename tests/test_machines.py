"""Contract of the platform's VM list."""

import unittest

from persimmonpath import errors
from persimmonpath import httpplatform
from persimmonpath import machines
from tests import contracts
from tests.standins import platform

LIVE = machines.MachineState.LIVE
LEAVING = machines.MachineState.LEAVING


class MachineListContract:
    """Both forms of the list pass these."""

    def read(self):
        return {m.name: m.state for m in self.machines.read().unwrap()}

    def test_list_follows_every_change(self):
        """A list that is not sent again must not hide a change."""
        self.marked.mark("a", LIVE)
        self.marked.mark("b", LIVE)
        self.assertEqual(self.read(), {"a": LIVE, "b": LIVE})
        self.assertEqual(self.read(), {"a": LIVE, "b": LIVE})
        self.marked.mark("a", LEAVING)
        self.marked.mark("b", None)
        self.assertEqual(self.read(), {"a": LEAVING})


class MemoryMachinesTest(MachineListContract, unittest.TestCase):
    def setUp(self):
        self.machines = machines.create_memory_machine_list()
        self.marked = self.machines


class HttpMachinesTest(MachineListContract, unittest.TestCase):
    def setUp(self):
        self.application = platform.PlatformApplication()
        running = contracts.RunningStandIn(self.application)
        self.addCleanup(running.stop)
        self.machines = httpplatform.HttpMachineList(running.url, timeout_s=0.5)
        self.marked = self.application.machines

    def test_unchanged_list_is_not_sent_again(self):
        for number in range(100):
            self.marked.mark(f"worker-{number}", LIVE)
        self.read()
        before = self.application.bytes
        self.assertEqual(len(self.read()), 100)
        self.assertLess(self.application.bytes - before, 1000)

    def test_failed_read_is_told_apart_from_an_empty_list(self):
        self.application.faults = platform.Faults(is_down=True)
        error = self.machines.read().failure()
        self.assertIsInstance(error, errors.MachineListError)
