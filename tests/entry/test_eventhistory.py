"""Tests the event history of a submission, merged from several logs."""

import unittest

from persimmonpath_ctl import eventhistory

ID = "6546f89a9610bbd2"
LOG = f"""
t=10.300 node=vm2 event=run_placed task={ID}.0.0.1 run=7 worker=w1
t=10.000 node=vm1 event=submission_stored id={ID} outcome=accepted
t=11.000 node=vm2 event=run_ended task={ID}.0.0.1 how=failed
t=10.100 node=vm1 event=submission_stored id=ffffffffffffffff
t=10.200 node=vm2 event=advice_answered step={ID}.0.0 reason="two words"
a line of something else {ID}
""".splitlines()


class EventHistoryTest(unittest.TestCase):
    """Tests the selection and the rendering of log lines."""

    def test_lines_of_one_submission_in_order_of_time(self):
        lines = eventhistory.select_lines(LOG, ID)
        self.assertEqual(
            [line.event for line in lines],
            ["submission_stored", "advice_answered", "run_placed", "run_ended"],
        )
        self.assertEqual(lines[1].fields["reason"], "two words")

    def test_gaps_are_marked(self):
        """A long gap between events shows where a submission was delayed."""
        rows = eventhistory.format_event_history(
            eventhistory.select_lines(LOG, ID)
        )
        self.assertEqual(len(rows), 5)
        self.assertIn("0.70 s without a line", rows[3])
