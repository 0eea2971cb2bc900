"""Converts the tenants of a configuration from the platform's wire format.

A fault in one field must neither keep a version of the configuration from
taking hold nor shut out the other tenants. Each field is checked on its own,
and a faulty one gets a defined value.
"""

from collections.abc import Iterator
import dataclasses
import math

from persimmonpath_entry.state import numbers
from persimmonpath_entry.state import tenants as tenant_types


@dataclasses.dataclass(slots=True)
class DecodedTenants:
    """The tenants of a configuration.

    Attributes:
      tenants: the tenants by name.
      names_by_key: the name of the tenant that each API key belongs to, by the
        digest of the key.
      problems: faulty fields and what is allowed, without any key.
    """

    tenants: dict[str, tenant_types.Tenant] = dataclasses.field(
        default_factory=dict
    )
    names_by_key: dict[bytes, str] = dataclasses.field(default_factory=dict)
    problems: list[str] = dataclasses.field(default_factory=list)


def decode_tenants(rows: object) -> DecodedTenants:
    """Decodes the field `tenants` of a configuration.

    A tenant without a name is left out. Of several tenants with one name the
    first one holds, with the keys of all. A key that several tenants have
    belongs to the first of them.

    Args:
      rows: the decoded JSON value of the field.
    """
    decoded = DecodedTenants()
    if not isinstance(rows, list):
        decoded.problems.append("tenants: not a list; allowed: a list")
        return decoded
    for index, row in enumerate(rows):
        _decode_tenant(decoded, f"tenants[{index}]", row)
    return decoded


def _decode_tenant(decoded: DecodedTenants, path: str, row: object):
    if not isinstance(row, dict):
        decoded.problems.append(f"{path}: not a table; allowed: a table")
        return
    name = row.get("name")
    if not isinstance(name, str) or not name:
        decoded.problems.append(f"{path}.name: allowed: a text")
        return
    for index, key in enumerate(_list_keys(decoded, path, row)):
        digest = tenant_types.compute_digest(key)
        holder = decoded.names_by_key.setdefault(digest, name)
        if holder != name:
            decoded.problems.append(
                f"{path}.apiKeys[{index}]: the key of another tenant"
            )
    if name in decoded.tenants:
        decoded.problems.append(f"{path}.name: used by a former entry")
        return
    decoded.tenants[name] = tenant_types.Tenant(
        name,
        _read_weight(decoded, path, row),
        _read_limit(decoded, f"{path}.maxCount", row.get("maxCount")),
    )


def _list_keys(decoded: DecodedTenants, path: str, row: dict) -> Iterator[str]:
    keys = row.get("apiKeys", [])
    if not isinstance(keys, list):
        decoded.problems.append(f"{path}.apiKeys: allowed: a list of texts")
        return
    for index, key in enumerate(keys):
        if isinstance(key, str) and key:
            yield key
        else:
            decoded.problems.append(f"{path}.apiKeys[{index}]: allowed: a text")


def _read_weight(decoded: DecodedTenants, path: str, row: dict) -> float:
    weight = row.get("weight", tenant_types.DEFAULT_WEIGHT)
    if _is_number(weight) and 0 < weight <= numbers.MAX_NUMBER:
        return float(weight)
    decoded.problems.append(f"{path}.weight: allowed: a number above 0")
    return tenant_types.DEFAULT_WEIGHT


def _read_limit(
    decoded: DecodedTenants, path: str, row: object
) -> tenant_types.TenantLimit:
    if row is None:
        return tenant_types.UNLIMITED
    if not isinstance(row, dict):
        decoded.problems.append(f"{path}: allowed: a table")
        return tenant_types.UNLIMITED
    limits: list[int | None] = []
    for field in ("cpu", "memMb", "gpu"):
        value = row.get(field, 0)
        if _is_number(value) and 0 <= value <= numbers.MAX_NUMBER:
            # A fraction must not become 0, which is no limit.
            limits.append(math.ceil(value) or None)
        else:
            decoded.problems.append(f"{path}.{field}: allowed: 0 or more")
            limits.append(None)
    return tenant_types.TenantLimit(*limits)


def _is_number(value: object) -> bool:
    """Returns whether a decoded JSON value is a finite number."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    return isinstance(value, int) or math.isfinite(value)
