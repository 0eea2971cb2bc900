"""Tests of the HTTP calls that show or change the configuration."""

from persimmonpath import sessions
from tests import test_httpapi

CONFIG = test_httpapi.CONFIG
config = test_httpapi.config


class ConfigTest(test_httpapi.EntryTestCase):
    def test_commit_on_an_old_version_is_a_conflict(self):
        version = self.call("GET", CONFIG)[1]["version"]
        body = config(based_on=version - 1)
        status, reply = self.call("POST", CONFIG, body)
        self.assertEqual((status, reply["outcome"]), (409, "conflict"))
        self.assertEqual(self.call("GET", CONFIG)[1]["version"], version)

    def test_change_is_pending_until_every_session_applies_it(self):
        """Guards against success before every zone applies a change."""
        version = self.call("GET", CONFIG)[1]["version"]
        other = sessions.create_session(
            "entry-2",
            "zone-b",
            "x",
            "1",
            "2",
            self.cell.table,
            self.cell.timers,
        )
        other.renew(version).unwrap()
        _, reply = self.call("POST", CONFIG, config(based_on=version))
        self.assertEqual(reply["outcome"], "pending")
        self.assertEqual(reply["awaited_zones"], ["zone-b"])
        self.assertEqual(reply["awaited_vms"], ["entry-2"])
        other.renew(version + 1).unwrap()
        _, reply = self.call("GET", f"{CONFIG}/status")
        self.assertEqual(reply["outcome"], "accepted")
        self.assertEqual(reply["version"], version + 1)

    def test_history_starts_with_the_newest(self):
        _, reply = self.call("GET", f"{CONFIG}/history?limit=100")
        versions = [entry["version"] for entry in reply["versions"]]
        self.assertEqual(versions, sorted(versions, reverse=True))
