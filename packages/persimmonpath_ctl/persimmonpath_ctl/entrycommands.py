"""Commands for the entry VMs of a platform."""

import pathlib
import sys

import cyclopts
import urllib3

from persimmonpath_ctl import exitcodes
from persimmonpath_ctl import stories

TIMEOUT_S = 3.0

app = cyclopts.App(name="entry", help="Entry VMs on a platform.")


@app.command
def story(submission_id: str, *logs: pathlib.Path) -> None:
    """Print what became of a submission, from logs.

    Args:
        submission_id: The id of the submission.
        logs: Logs of the entry VMs; standard input if there are none.
    """
    texts: list[str] = []
    for path in logs:
        texts += path.read_text(errors="replace").splitlines()
    if not logs:
        texts = sys.stdin.read().splitlines()
    lines = stories.select_lines(texts, submission_id)
    if not lines:
        print(f"persimmonctl: no line names {submission_id}", file=sys.stderr)
        sys.exit(exitcodes.BAD_INPUT)
    for row in stories.render_story(lines):
        print(row)


@app.command
def show(address: str) -> None:
    """Print what a running entry VM knows: owners, workers, version.

    Args:
        address: HOST:PORT of its metrics.
    """
    url = f"http://{address}/show"
    try:
        reply = urllib3.request("GET", url, timeout=TIMEOUT_S, retries=False)
    except urllib3.exceptions.HTTPError as error:
        print(f"persimmonctl: {address}: {error}", file=sys.stderr)
        sys.exit(exitcodes.BAD_INPUT)
    print(reply.data.decode(), end="")
