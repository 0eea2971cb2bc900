"""Entry point of the command `persimmonctl`."""

import sys

import cyclopts

from persimmonpath_ctl import cellcommands
from persimmonpath_ctl import entrycommands
from persimmonpath_ctl import exitcodes
from persimmonpath_ctl import inventorycommands
from persimmonpath_ctl import jobcommands
from persimmonpath_ctl import requestcommands
from persimmonpath_ctl import rulescommands

app = cyclopts.App(name="persimmonctl", help="Client for a persimmonpath cell.")
requestcommands.register(app)
app.command(jobcommands.wait)
app.command(jobcommands.app)
app.command(inventorycommands.app)
app.command(rulescommands.app)
app.command(entrycommands.app)
cellcommands.register(app)
app.register_install_completion_command()


def main() -> None:
    """Runs the command line."""
    try:
        app(exit_on_error=False)
    except cyclopts.CycloptsError:
        # cyclopts has printed the message already.
        sys.exit(exitcodes.BAD_INPUT)
    except KeyboardInterrupt:
        sys.exit(exitcodes.UNKNOWN)


if __name__ == "__main__":
    main()
