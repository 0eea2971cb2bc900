"""Tests of the admission checks of requests."""

import unittest

from persimmonpath import admission
from persimmonpath import identifiers
from persimmonpath import inventory


class CheckShardTest(unittest.TestCase):
    def test_entry_vm_without_configuration_does_not_reject_issued_ids(self):
        """Guards against refusing a valid id after a restart."""
        request_id = identifiers.parse_request_id("zone-a.1.2.1")
        admission.check_shard(request_id, inventory.Inventory())
