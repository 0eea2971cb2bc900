"""Prints replies as tables for people and as JSON for programs."""

import base64
import json
import sys
from typing import Any

import rich.console
import rich.markup
import rich.table

from persimmonpath_ctl import client as client_module

# Output that is piped into another program is not cut to a terminal's width.
NON_TERMINAL_WIDTH = 200


def create_console() -> rich.console.Console:
    """Returns a console on standard output."""
    is_terminal = sys.stdout.isatty()
    return rich.console.Console(
        width=None if is_terminal else NON_TERMINAL_WIDTH,
        highlight=False,
        soft_wrap=not is_terminal,
    )


def print_json(body: Any) -> None:
    """Prints a value as indented JSON."""
    print(json.dumps(body, indent=2))


def print_error(message: str) -> None:
    """Prints a message to standard error."""
    print(f"persimmonctl: {message}", file=sys.stderr)


def print_table(columns: list[str], rows: list[list[Any]]) -> None:
    """Prints a table with a header line.

    Args:
        columns: Column headers.
        rows: Rows with one value for each column; None, an empty text and an
            empty list print as `-`.
    """
    table = rich.table.Table(box=None, pad_edge=False, header_style="bold")
    for column in columns:
        table.add_column(column, overflow="fold")
    for row in rows:
        table.add_row(*(_format_cell(value) for value in row))
    create_console().print(table)


def print_fields(fields: dict[str, Any]) -> None:
    """Prints a `name  value` line for each field that is not empty."""
    table = rich.table.Table(box=None, pad_edge=False, show_header=False)
    table.add_column(style="bold")
    table.add_column(overflow="fold")
    for name, value in fields.items():
        if value not in (None, "", [], {}):
            table.add_row(name, _format_cell(value))
    create_console().print(table)


def print_answer(body: dict) -> None:
    """Prints the outcome of a request."""
    fields = {name: body.get(name) for name in ("id", "outcome", "reason")}
    fields["worker"] = body.get("worker")
    if "answer" in body:
        fields["length"] = body["length"]
        fields["answer"] = _format_answer(body["answer"])
    print_fields(fields)


def print_job(body: dict) -> None:
    """Prints a job and its tasks."""
    names = ("id", "outcome", "form", "team", "kind", "state", "reason")
    print_fields({name: body.get(name) for name in (*names, "shard")})
    if "tasks" not in body:
        return
    rows = [
        [index, task["state"], task["attempts"], task["reason"]]
        for index, task in enumerate(body["tasks"])
    ]
    print_table(["TASK", "STATE", "FAILURES", "REASON"], rows)


def print_jobs(body: dict) -> None:
    """Prints a list of jobs."""
    columns = ["id", "form", "team", "state", "tasks", "shard"]
    rows = [[job.get(name) for name in columns] for job in body["jobs"]]
    print_table([name.upper() for name in columns], rows)


def print_cancellations(body: dict) -> None:
    """Prints the state or error of each job in a cancellation."""
    rows = [
        [entry["id"], entry.get("state"), entry.get("error")]
        for entry in body["jobs"]
    ]
    print_table(["ID", "STATE", "ERROR"], rows)


def print_inventory(body: dict) -> None:
    """Prints the inventory of a configuration."""
    zones = body["inventory"]["zones"]
    print_fields({"version": body["version"], "author": body["author"]})
    print_table(
        ["ZONE", "REGION", "SHARDS"],
        [[zone["name"], zone["region"], zone["shards"]] for zone in zones],
    )
    columns = ["name", "zone", "rack", "shard", "host", "port", "cpu_millis"]
    columns += ["memory_mib", "accelerators", "slots", "draining"]
    rows = [
        [worker.get(name) for name in columns]
        for worker in body["inventory"]["workers"]
    ]
    print_table([name.upper() for name in columns], rows)


def print_rules(body: dict) -> None:
    """Prints the rules of a configuration."""
    rules = body["rules"]
    print_fields({"version": body["version"], "author": body["author"]})
    placement = [
        [rule["kind"], rule["team"], rule["zones"], rule["racks"]]
        for rule in rules["placement"]
    ]
    print_table(["KIND", "TEAM", "ZONES", "RACKS"], placement)
    columns = ["team", "cpu_millis", "memory_mib", "accelerators"]
    quotas = [[quota[name] for name in columns] for quota in rules["quotas"]]
    print_table([name.upper() for name in columns], quotas)
    print_table(
        ["POLICY", "VALUE"], [[k, v] for k, v in rules["policy"].items()]
    )


def print_commit(body: dict) -> None:
    """Prints the outcome of a change of the configuration."""
    names = ("outcome", "version", "reason", "awaited_zones", "awaited_vms")
    print_fields({name: body.get(name) for name in names})


def print_history(body: dict) -> None:
    """Prints versions of the configuration."""
    columns = ["version", "based_on", "author", "digest"]
    rows = [[entry.get(name) for name in columns] for entry in body["versions"]]
    print_table([name.upper() for name in columns], rows)


def print_config_status(body: dict) -> None:
    """Prints the committed version and the zones that await it."""
    print_fields(body)


def print_zones(body: dict) -> None:
    """Prints the availability zones as observed by one entry VM."""
    rows = [
        [
            zone["name"],
            zone["region"],
            zone["workers"],
            zone["draining"],
            f"{zone['live_vms']}/{zone['vms']}",
            [f"{s['index']}:{s['owner'] or '-'}" for s in zone["shards"]],
        ]
        for zone in body["zones"]
    ]
    columns = ["ZONE", "REGION", "WORKERS", "DRAINING", "LIVE VMS", "SHARDS"]
    print_table(columns, rows)


def print_vms(body: dict) -> None:
    """Prints the entry VMs as observed by one of them."""
    columns = ["vm", "zone", "state", "config_version", "http_address"]
    rows = [[vm.get(name) for name in columns] for vm in body["vms"]]
    print_table([name.upper() for name in columns], rows)


def print_text(body: str) -> None:
    """Prints text unchanged, with a newline at its end."""
    print(body, end="" if body.endswith("\n") else "\n")


def parse_metrics(reply: client_module.Reply) -> client_module.Reply:
    """Parses the text of `/metrics` into a map from series to value."""
    if not isinstance(reply.body, str):
        return reply
    values = {}
    for line in reply.body.splitlines():
        if line and not line.startswith("#"):
            series, _, value = line.rpartition(" ")
            values[series] = float(value)
    return client_module.Reply(reply.status, values)


def _format_cell(value: Any) -> str:
    if value is None or value == "" or value == []:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list):
        return " ".join(str(item) for item in value)
    return rich.markup.escape(str(value))


def _format_answer(encoded: str) -> str:
    answer = base64.b64decode(encoded)
    try:
        text = answer.decode()
    except UnicodeDecodeError:
        return f"{encoded} (base64)"
    return text if text.isprintable() else f"{encoded} (base64)"
