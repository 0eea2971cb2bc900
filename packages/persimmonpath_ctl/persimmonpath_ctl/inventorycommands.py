"""Commands that show and change the inventory of VMs, racks and zones."""

import json
import pathlib

import cyclopts

from persimmonpath import errors
from persimmonpath import inventory as inventory_module
from persimmonpath_ctl import invocation
from persimmonpath_ctl import operations
from persimmonpath_ctl import output

app = cyclopts.App(
    name="inventory",
    help="Show and change the inventory of VMs, racks and zones.",
)


@app.command(name="import")
def import_file(
    file: pathlib.Path,
    *,
    shards: int | None = None,
    based_on: int | None = None,
    wait_s: float = invocation.DEFAULT_ACCEPT_WAIT_S,
    common: invocation.CommonOptions = invocation.COMMON,
) -> None:
    """Replace the inventory with an asset register in TOML or CSV.

    A VM that is already in the inventory keeps its shard. It also keeps its
    draining state unless the register sets it.

    Args:
        file: The register; read as CSV if its name ends in .csv, else as TOML.
        shards: Number of shards of each zone, only for a CSV register. By
            default a known zone keeps its number and a new one gets 1.
        based_on: Version that the register was made from; any other version in
            force is a conflict.
        wait_s: Longest time to wait for every zone, in seconds.
        common: Options of every command.
    """
    text = invocation.read_text(file)
    is_csv = file.suffix == ".csv"
    try:
        parsed = parse_register(text, is_csv, shards)
    except errors.InputError as error:
        invocation.exit_with_input_error(error)
        raise

    def edit(config: dict) -> None:
        current = inventory_module.validate_inventory(config["inventory"])
        merged = merge_assignments(parsed, current, is_csv and shards is None)
        config["inventory"] = json.loads(merged.model_dump_json())

    invocation.commit_and_exit(edit, based_on, wait_s, common)


@app.command
def show(*, common: invocation.CommonOptions = invocation.COMMON) -> None:
    """Show the inventory in force."""
    reply = operations.show_config(common.connect())
    invocation.print_and_exit(reply, common, output.print_inventory)


@app.command
def drain(
    vms: list[str],
    *,
    wait_s: float = invocation.DEFAULT_ACCEPT_WAIT_S,
    common: invocation.CommonOptions = invocation.COMMON,
) -> None:
    """Stop placing new work on VMs; running work continues.

    Args:
        vms: Names of the VMs.
        wait_s: Longest time to wait for every zone, in seconds.
        common: Options of every command.
    """
    invocation.commit_and_exit(
        lambda c: set_draining(c["inventory"], vms, True), None, wait_s, common
    )


@app.command
def undrain(
    vms: list[str],
    *,
    wait_s: float = invocation.DEFAULT_ACCEPT_WAIT_S,
    common: invocation.CommonOptions = invocation.COMMON,
) -> None:
    """Resume placing work on drained VMs.

    Args:
        vms: Names of the VMs.
        wait_s: Longest time to wait for every zone, in seconds.
        common: Options of every command.
    """
    invocation.commit_and_exit(
        lambda c: set_draining(c["inventory"], vms, False), None, wait_s, common
    )


@app.command
def remove(
    vms: list[str],
    *,
    wait_s: float = invocation.DEFAULT_ACCEPT_WAIT_S,
    common: invocation.CommonOptions = invocation.COMMON,
) -> None:
    """Remove VMs from the inventory.

    Args:
        vms: Names of the VMs.
        wait_s: Longest time to wait for every zone, in seconds.
        common: Options of every command.
    """
    invocation.commit_and_exit(
        lambda c: remove_workers(c["inventory"], vms), None, wait_s, common
    )


def parse_register(
    text: str, is_csv: bool, shards: int | None
) -> inventory_module.Inventory:
    """Parses an asset register.

    Args:
        text: The register.
        is_csv: Whether it is CSV rather than TOML.
        shards: Number of shards of each zone of a CSV register; None for 1.

    Raises:
        errors.InputError: If it is not valid, or if `shards` is given for TOML.
    """
    if is_csv:
        return inventory_module.parse_csv(text, 1 if shards is None else shards)
    if shards is not None:
        raise errors.InputError(
            "shards",
            "a TOML register sets the number of shards of each zone itself",
            "only with CSV",
        )
    return inventory_module.parse_toml(text)


def merge_assignments(
    new: inventory_module.Inventory,
    current: inventory_module.Inventory,
    keep_shard_counts: bool,
) -> inventory_module.Inventory:
    """Returns a register that keeps the assignments of the current inventory.

    A known VM keeps its shard, if its zone still has that shard, and its
    draining state, unless the register sets them.

    Args:
        new: The register.
        current: The inventory in force.
        keep_shard_counts: Whether a known zone keeps its number of shards
            although the register has one; a CSV register always has one.
    """
    current_zones = {zone.name: zone for zone in current.zones}
    zones = []
    for zone in new.zones:
        known = current_zones.get(zone.name)
        keeps_shards = (
            keep_shard_counts or "shards" not in zone.model_fields_set
        )
        if known and keeps_shards:
            zone = zone.model_copy(update={"shards": known.shards})
        zones.append(zone)
    shards = {zone.name: zone.shards for zone in zones}
    current_workers = {(w.name, w.zone): w for w in current.workers}
    workers = []
    for worker in new.workers:
        known = current_workers.get((worker.name, worker.zone))
        workers.append(_merge_worker_assignment(worker, known, shards))
    return inventory_module.Inventory(
        zones=tuple(zones), workers=tuple(workers)
    )


def _merge_worker_assignment(worker, known, shards: dict[str, int]):
    if known is None:
        return worker
    update = {}
    if worker.shard is None and (known.shard or 0) < shards[worker.zone]:
        update["shard"] = known.shard
    if "draining" not in worker.model_fields_set:
        update["draining"] = known.draining
    return worker.model_copy(update=update)


def set_draining(inventory: dict, vms: list[str], is_draining: bool) -> None:
    """Sets the draining state of VMs in the JSON form of an inventory.

    Raises:
        errors.InputError: If a VM is not in the inventory.
    """
    _require_known_vms(inventory, vms)
    for worker in inventory["workers"]:
        if worker["name"] in vms:
            worker["draining"] = is_draining


def remove_workers(inventory: dict, vms: list[str]) -> None:
    """Removes VMs from the JSON form of an inventory.

    Raises:
        errors.InputError: If a VM is not in the inventory.
    """
    _require_known_vms(inventory, vms)
    inventory["workers"] = [
        worker for worker in inventory["workers"] if worker["name"] not in vms
    ]


def _require_known_vms(inventory: dict, vms: list[str]) -> None:
    known = {worker["name"] for worker in inventory["workers"]}
    unknown = [vm for vm in vms if vm not in known]
    if unknown:
        raise errors.InputError(
            "vms",
            f"not in the inventory: {', '.join(unknown)}",
            "VM names that `persimmonctl inventory show` lists",
        )
