"""Tests of the HTTP calls for jobs."""

from persimmonpath import errors
from tests import test_httpapi

JOBS = test_httpapi.JOBS
job = test_httpapi.job


class JobTest(test_httpapi.EntryTestCase):
    def test_repeated_submission_is_one_job(self):
        first = self.call("POST", JOBS, job(id="job-1"))
        self.assertEqual(first[0], 200)
        self.assertEqual(self.call("POST", JOBS, job(id="job-1")), first)

    def test_job_id_with_other_content_is_a_conflict(self):
        self.call("POST", JOBS, job(id="job-2"))
        status, reply = self.call("POST", JOBS, job(id="job-2", tasks=2))
        self.assertEqual((status, reply["error"]), (409, "id_reused"))
        self.assertEqual(len(self.call("GET", f"{JOBS}/job-2")[1]["tasks"]), 1)

    def test_platform_error_reports_whether_the_job_may_be_committed(self):
        self.addCleanup(setattr, self.cell.table, "fault", None)
        for fault, outcome in (
            (errors.TableUnavailableError("down"), "not_run"),
            (errors.TableUncertainError("lost"), "unknown"),
        ):
            self.cell.table.fault = fault
            status, reply = self.call("POST", JOBS, job(id="job-3"))
            self.assertEqual((status, reply["outcome"]), (503, outcome))

    def test_cancel_reports_the_state_of_each_job(self):
        self.call("POST", JOBS, job(id="job-4"))
        ids = ["job-4", "job-none"]
        _, reply = self.call("POST", f"{JOBS}:cancel", {"ids": ids})
        self.assertIn(reply["jobs"][0]["state"], ("cancelling", "cancelled"))
        self.assertEqual(reply["jobs"][1]["error"], "no_such_job")

    def test_list_is_paginated_by_after(self):
        for number in range(3):
            self.call("POST", JOBS, job(id=f"page-{number}", team="pages"))
        ids, after = [], ""
        while True:
            path = f"{JOBS}?team=pages&limit=2&after={after}"
            page = self.call("GET", path)[1]["jobs"]
            if not page:
                break
            ids += [entry["id"] for entry in page]
            after = ids[-1]
        self.assertEqual(ids, ["page-0", "page-1", "page-2"])

    def test_unknown_job_is_not_found(self):
        for method in ("GET", "DELETE"):
            status, reply = self.call(method, f"{JOBS}/job-none")
            self.assertEqual((status, reply["error"]), (404, "no_such_job"))
