"""Contract of the implementations of the platform's VM list."""

import unittest

from persimmonpath import errors
from persimmonpath import httpplatform
from persimmonpath import machines
from tests import contracts
from tests.standins import platform

LIVE = machines.MachineState.LIVE
LEAVING = machines.MachineState.LEAVING


class MachineListContract:
    """Tests that every implementation of the list must pass."""

    def read(self):
        return {m.name: m.state for m in self.machines.read().unwrap()}

    def test_every_change_is_visible(self):
        """Conditional requests must not hide a change."""
        self.backing_list.mark("a", LIVE)
        self.backing_list.mark("b", LIVE)
        self.assertEqual(self.read(), {"a": LIVE, "b": LIVE})
        self.assertEqual(self.read(), {"a": LIVE, "b": LIVE})
        self.backing_list.mark("a", LEAVING)
        self.backing_list.mark("b", None)
        self.assertEqual(self.read(), {"a": LEAVING})


class MemoryMachineListTest(MachineListContract, unittest.TestCase):
    """The list in memory."""

    def setUp(self):
        self.machines = machines.create_memory_machine_list()
        self.backing_list = self.machines


class HttpMachineListTest(MachineListContract, unittest.TestCase):
    """The HTTP client against a stand-in of the platform."""

    def setUp(self):
        self.application = platform.PlatformApplication()
        stand_in = contracts.RunningStandIn(self.application)
        self.addCleanup(stand_in.stop)
        self.machines = httpplatform.HttpMachineList(
            stand_in.url, timeout_s=0.5
        )
        self.backing_list = self.application.machines

    def test_unchanged_list_is_not_sent_again(self):
        for number in range(100):
            self.backing_list.mark(f"worker-{number}", LIVE)
        self.read()
        before = self.application.bytes
        self.assertEqual(len(self.read()), 100)
        self.assertLess(self.application.bytes - before, 1000)

    def test_failed_read_is_an_error_and_not_an_empty_list(self):
        self.application.faults = platform.Faults(is_down=True)
        error = self.machines.read().failure()
        self.assertIsInstance(error, errors.MachineListError)
