"""Commands that show the state of the cell as reported by one entry VM."""

import cyclopts

from persimmonpath_ctl import invocation
from persimmonpath_ctl import operations
from persimmonpath_ctl import output

config_app = cyclopts.App(name="config", help="Versions of the configuration.")


def register(app: cyclopts.App) -> None:
    """Adds the commands of this module to an application."""
    for command in (zones, vms, metrics):
        app.command(command)
    app.command(config_app)


@config_app.command
def status(*, common: invocation.CommonOptions = invocation.COMMON) -> None:
    """Show the committed version and the zones that do not apply it yet."""
    reply = operations.show_config_status(common.connect())
    invocation.print_and_exit(reply, common, output.print_config_status)


def zones(*, common: invocation.CommonOptions = invocation.COMMON) -> None:
    """Show the availability zones and the owners of their shards."""
    reply = operations.show_zones(common.connect())
    invocation.print_and_exit(reply, common, output.print_zones)


def vms(*, common: invocation.CommonOptions = invocation.COMMON) -> None:
    """Show the entry VMs."""
    reply = operations.show_vms(common.connect())
    invocation.print_and_exit(reply, common, output.print_vms)


def metrics(*, common: invocation.CommonOptions = invocation.COMMON) -> None:
    """Show the counters and latencies of one entry VM."""
    reply = operations.show_metrics(common.connect())
    if common.json:
        reply = reply.map(output.parse_metrics)
    invocation.print_and_exit(reply, common, output.print_text)
