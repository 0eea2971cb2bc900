"""Commands that inspect the entry VMs of a platform."""

import pathlib
import sys

import cyclopts
import urllib3

from persimmonpath_ctl import eventhistory
from persimmonpath_ctl import exitcodes

TIMEOUT_S = 3.0

app = cyclopts.App(name="entry", help="Inspect entry VMs and their logs.")


@app.command
def story(submission_id: str, *logs: pathlib.Path) -> None:
    """Print the event history of a submission from log files.

    Args:
        submission_id: Id of the submission.
        logs: Log files of the entry VMs; standard input if none are given.
    """
    texts: list[str] = []
    for path in logs:
        texts += path.read_text(errors="replace").splitlines()
    if not logs:
        texts = sys.stdin.read().splitlines()
    lines = eventhistory.select_lines(texts, submission_id)
    if not lines:
        print(
            f"persimmonctl: no log line refers to {submission_id}",
            file=sys.stderr,
        )
        sys.exit(exitcodes.BAD_INPUT)
    for row in eventhistory.format_event_history(lines):
        print(row)


@app.command
def show(address: str) -> None:
    """Print the state of a running entry VM: owners, workers, version.

    Args:
        address: HOST:PORT of its metrics endpoint.
    """
    url = f"http://{address}/show"
    try:
        reply = urllib3.request("GET", url, timeout=TIMEOUT_S, retries=False)
    except urllib3.exceptions.HTTPError as error:
        print(f"persimmonctl: {address}: {error}", file=sys.stderr)
        sys.exit(exitcodes.BAD_INPUT)
    print(reply.data.decode(), end="")
