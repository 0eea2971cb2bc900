"""Commands that show and change the placement rules, quotas and policy."""

import json
import pathlib
import sys
import tomllib

import cyclopts
import pydantic
from returns import result

from persimmonpath import errors
from persimmonpath import inventory as inventory_module
from persimmonpath import rules as rules_module
from persimmonpath import validation
from persimmonpath_ctl import invocation
from persimmonpath_ctl import operations
from persimmonpath_ctl import output

app = cyclopts.App(
    name="rules",
    help="Show and change placement rules, quotas and policy settings.",
)


def parse_rules(text: str) -> rules_module.Rules:
    """Parses and validates rules in TOML.

    Raises:
        errors.InputError: If they are not valid; the message lists every fault.
    """
    try:
        return rules_module.Rules.model_validate(tomllib.loads(text))
    except tomllib.TOMLDecodeError as error:
        raise errors.InputError("rules", str(error), "TOML") from error
    except pydantic.ValidationError as error:
        raise errors.InputError(
            "rules",
            validation.describe_field_errors(
                error, rules_module.Rules, "rules"
            ),
        ) from error


def _load(file: pathlib.Path) -> rules_module.Rules:
    try:
        return parse_rules(invocation.read_text(file))
    except errors.InputError as error:
        invocation.exit_with_input_error(error)
        raise


def _check_zones_and_racks(rules: rules_module.Rules, config: dict) -> None:
    inventory = inventory_module.validate_inventory(config["inventory"])
    rules_module.ensure_known_names(rules, inventory)


@app.command
def show(*, common: invocation.CommonOptions = invocation.COMMON) -> None:
    """Show the rules in force."""
    reply = operations.show_config(common.connect())
    invocation.print_and_exit(reply, common, output.print_rules)


@app.command
def check(
    file: pathlib.Path, *, common: invocation.CommonOptions = invocation.COMMON
) -> None:
    """Check a rules file against the inventory in force; changes nothing."""
    rules = _load(file)
    reply = operations.show_config(common.connect())
    if isinstance(reply, result.Failure) or reply.unwrap().status != 200:
        invocation.print_and_exit(reply, common, output.print_rules)
    config = reply.unwrap().body
    try:
        _check_zones_and_racks(rules, config)
    except errors.InputError as error:
        invocation.exit_with_input_error(error)
    summary = {
        "ok": True,
        "placement": len(rules.placement),
        "quotas": len(rules.quotas),
        "checked_against": config["version"],
    }
    if common.json:
        output.print_json(summary)
    else:
        output.print_fields(summary)
    sys.exit(0)


@app.command
def apply(
    file: pathlib.Path,
    *,
    based_on: int | None = None,
    wait_s: float = invocation.DEFAULT_ACCEPT_WAIT_S,
    common: invocation.CommonOptions = invocation.COMMON,
) -> None:
    """Replace the rules with those of a TOML file.

    Args:
        file: The rules file.
        based_on: Version that the file was made from; a later version by
            another operator is a conflict. By default the version in force.
        wait_s: Longest time to wait for every zone, in seconds.
        common: Options of every command.
    """
    rules = _load(file)

    def edit(config: dict) -> None:
        _check_zones_and_racks(rules, config)
        config["rules"] = json.loads(rules.model_dump_json())

    invocation.commit_and_exit(edit, based_on, wait_s, common)


@app.command
def history(
    *, limit: int = 20, common: invocation.CommonOptions = invocation.COMMON
) -> None:
    """Show the latest versions of the configuration, newest first.

    Args:
        limit: Maximum number of versions to show.
        common: Options of every command.
    """
    reply = operations.show_history(common.connect(), limit)
    invocation.print_and_exit(reply, common, output.print_history)
