"""Rows of the former version, as VMs are replaced one by one."""

import unittest

import msgspec

from persimmonpath_entry.engine import ownerrows
from persimmonpath_entry.engine import views
from persimmonpath_entry.state import submissions

# Each type of row as code without tenants writes it.
ROWS = (
    (
        submissions.SubmissionRecord,
        b'{"queue":"q","service":"s","spec":"x","steps":[{"count":3,"cpu":100,'
        b'"memory_mb":50,"estimated_ms":900.0}],"accepted_ms":5,'
        b'"policy":[1,3,1.5,300.0,null]}',
    ),
    (
        submissions.SubmissionRecord,
        b'{"queue":"q","service":"s","spec":"","steps":[],"cancelled":true,'
        b'"is_tombstone":true}',
    ),
    (
        submissions.ProgressRecord,
        b'{"done":{"0.0":3},"failures":{"0.0.1":[5]},"saved":{"0.0.2":"a"}}',
    ),
    (
        ownerrows.OwnerRecord,
        b'{"owner":"vm","boot":"b","address":"1.2.3.4:5","sequence":3,'
        b'"horizon":7,"renewed_ms":9,"waits":{"0":1.5}}',
    ),
    (
        ownerrows.WorkersRecord,
        b'{"workers":["w"],"unresponsive":{"w":["a"]},"lease_ends":{"w":5}}',
    ),
    (views.SubmissionView, b'{"state":"","has_started":true}'),
)


class FormerRowTest(unittest.TestCase):
    def test_rows_without_tenants_are_read_and_written_as_before(self):
        """Guards against a VM that can't take over from the other version."""
        for row_type, value in ROWS:
            with self.subTest(type=row_type.__name__):
                record = msgspec.json.decode(value, type=row_type)
                self.assertEqual(msgspec.json.encode(record), value)

    def test_the_tenant_is_a_field_that_can_be_left_out(self):
        """Guards against rows that the former version doesn't accept."""
        record = msgspec.json.decode(ROWS[0][1], type=ROWS[0][0])
        record.tenant = "north"
        encoded = msgspec.json.decode(msgspec.json.encode(record))
        self.assertEqual(encoded.pop("tenant"), "north")
        self.assertEqual(encoded, msgspec.json.decode(ROWS[0][1]))
