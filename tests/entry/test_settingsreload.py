"""Tests of settings that change while a process runs."""

import asyncio
import os
import pathlib
import tempfile
import unittest

from persimmonpath_entry.engine import node as nodes
from persimmonpath_entry.platform import settings as platform_settings
from tests.entry import fakes

SETTINGS = """
nodeName = "{name}"
ip = "127.0.0.1"
zone = "z1"
internalPorts = [7000, 7001]
advice = "{advice}"
metricsPort = {metrics}
[listenAddrs]
front = "127.0.0.1:7002"
ready = "{ready}"
[platform]
address = "{store}"
[cloudApi]
address = "{machines}"
[bounds]
graceS = {grace}
[limits]
cores = {cores}
"""
FIELDS = {
    "name": "vm-1",
    "advice": "",
    "metrics": 7004,
    "ready": "127.0.0.1:7003",
    "store": "127.0.0.1:7100",
    "machines": "",
    "grace": 6,
    "cores": 2,
}


class SettingsCase(unittest.IsolatedAsyncioTestCase):
    """Base of the tests with a node and its settings file."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name, "vm-1.toml")
        self.write()
        former = os.environ.get(platform_settings.SETTINGS_VARIABLE)
        self.addCleanup(self.restore_variable, former)
        os.environ[platform_settings.SETTINGS_VARIABLE] = str(self.path)
        self.node = nodes.Node(platform_settings.load_settings())
        self.log = self.node.context.log = fakes.FakeLog()

    def restore_variable(self, former):
        os.environ.pop(platform_settings.SETTINGS_VARIABLE)
        if former is not None:
            os.environ[platform_settings.SETTINGS_VARIABLE] = former

    def write(self, **changes):
        new = self.path.with_suffix(".new")
        new.write_text(SETTINGS.format(**{**FIELDS, **changes}))
        new.replace(self.path)

    def list_addresses(self):
        """Returns the addresses that the clients of the process call."""
        upkeep = self.node._upkeep
        return {
            "store": self.node.context.store._client.address,
            "probe": self.node.context.store._probe_client.address,
            "advice": getattr(
                getattr(self.node._advisor._client, "_client", None),
                "address",
                "",
            ),
            "machines": ""
            if upkeep is None or upkeep._client is None
            else upkeep._client._client.address,
        }


class ReloadTest(SettingsCase):
    """Settings that the platform replaces before it sends SIGHUP.

    Only bounds were applied: a VM called the advisor, the store and the
    machines at their former addresses until it was restarted.
    """

    async def test_addresses_bounds_and_limits_are_applied(self):
        weight = self.node.members.own_weight
        for number in (1, 2):
            addresses = [f"127.0.0.1:7{number}0{n}" for n in range(3)]
            self.write(
                store=addresses[0],
                advice=addresses[1],
                machines=addresses[2],
                grace=7 + number,
                cores=2 + number,
            )
            self.node._reload_settings()
            self.assertEqual(
                self.list_addresses(),
                {
                    "store": addresses[0],
                    "probe": addresses[0],
                    "advice": addresses[1],
                    "machines": addresses[2],
                },
            )
            settings = self.node.context.settings
            self.assertEqual(settings.bounds.grace_s, 7 + number)
            self.assertEqual(settings.limits.cores, 2 + number)
            self.assertEqual(
                self.node.members.own_weight, weight * (2 + number) / 2
            )
        self.write()
        self.node._reload_settings()
        self.assertEqual(self.list_addresses()["advice"], "")
        self.assertEqual(self.list_addresses()["machines"], "")

    async def test_a_setting_that_can_t_change_is_named_once(self):
        changes = {"name": "vm-2", "metrics": 7009, "ready": "127.0.0.1:7008"}
        for grace in (8, 9):
            self.write(**changes, grace=grace)
            self.node._reload_settings()
            self.assertEqual(self.node.context.settings.bounds.grace_s, grace)
        self.assertEqual(self.node.context.settings.node_name, "vm-1")
        self.assertEqual(self.node.context.settings.metrics_port, 7004)
        names = [
            fields["name"]
            for fields in self.log.list_events("setting_needs_restart")
        ]
        self.assertCountEqual(
            names, ["nodeName", "metricsPort", "listenAddrs.ready"]
        )

    async def test_faulty_settings_change_nothing(self):
        for fields in (
            {"advice": "nowhere"},
            {"machines": "127.0.0.1:x"},
            {"store": ""},
            {"grace": "true"},
            {"cores": "2]"},
        ):
            with self.subTest(fields):
                self.write(**{"grace": 9, **fields})
                self.node._reload_settings()
                bounds = self.node.context.settings.bounds
                self.assertEqual(bounds.grace_s, 6)
                self.assertEqual(self.list_addresses()["advice"], "")
        self.assertEqual(len(self.log.list_events("reload_failed")), 5)


class FileChangeTest(SettingsCase):
    """The file changes without a signal, which nothing noticed."""

    async def follow(self):
        task = asyncio.create_task(self.node._reloader.run())
        await asyncio.sleep(0.02)
        self.addAsyncCleanup(asyncio.gather, task, return_exceptions=True)
        self.addCleanup(task.cancel)
        return task

    async def wait_for(self, condition):
        async with asyncio.timeout(4.0):
            while not condition():
                await asyncio.sleep(0.02)

    async def test_a_changed_file_is_applied_without_a_signal(self):
        task = await self.follow()
        self.write(advice="127.0.0.1:7101")
        await self.wait_for(
            lambda: self.list_addresses()["advice"] == "127.0.0.1:7101"
        )
        task.cancel()

    async def test_a_missing_or_partly_written_file_is_waited_for(self):
        """The present settings stay, and the log says so once."""
        task = await self.follow()
        self.path.write_bytes(b'nodeName = "\xc3')
        await self.wait_for(lambda: self.log.list_events("reload_failed"))
        await asyncio.sleep(1.2)
        self.assertEqual(len(self.log.list_events("reload_failed")), 1)
        self.path.unlink()
        await self.wait_for(
            lambda: len(self.log.list_events("reload_failed")) == 2
        )
        self.write(grace=9)
        await self.wait_for(
            lambda: self.node.context.settings.bounds.grace_s == 9
        )
        task.cancel()
