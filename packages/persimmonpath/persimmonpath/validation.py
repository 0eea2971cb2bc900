"""Validation errors of external input, with field and allowed range."""

import dataclasses
from typing import Any

import pydantic

MAX_ERRORS = 50

_CODES = {
    "json_invalid": "invalid_json",
    "extra_forbidden": "unknown_field",
    "missing": "missing_field",
    "greater_than": "out_of_range",
    "greater_than_equal": "out_of_range",
    "less_than": "out_of_range",
    "less_than_equal": "out_of_range",
    "too_long": "too_large",
    "bytes_too_long": "too_large",
    "string_too_long": "too_large",
    "bytes_invalid_encoding": "invalid_base64",
    "string_pattern_mismatch": "bad_form",
    "literal_error": "not_allowed",
    "value_error": "inconsistent",
}


@dataclasses.dataclass(frozen=True, slots=True)
class FieldError:
    """A validation error of one field.

    Attributes:
        code: Machine-readable kind of the error.
        field: Path of the field; its parts are separated by dots.
        message: Description of the error.
        allowed: Description of the allowed range or form.
    """

    code: str
    field: str
    message: str
    allowed: str

    def __str__(self) -> str:
        allowed = f" (allowed: {self.allowed})" if self.allowed else ""
        return f"{self.field}: {self.message}{allowed}"


def list_field_errors(
    error: pydantic.ValidationError,
    model: type[pydantic.BaseModel],
    root_name: str = "body",
) -> list[FieldError]:
    """Returns the errors of a failed validation, at most `MAX_ERRORS`.

    Args:
        error: The validation error.
        model: The model that the value was validated against.
        root_name: Field name for an error of the value as a whole.
    """
    schema = model.model_json_schema()
    field_errors = []
    for details in error.errors(include_url=False)[:MAX_ERRORS]:
        path = [part for part in details["loc"] if part != "__root__"]
        field_errors.append(
            FieldError(
                _choose_code(details["type"]),
                ".".join(str(part) for part in path) or root_name,
                details["msg"],
                _describe_allowed(schema, path, details["type"]),
            )
        )
    return field_errors


def describe_field_errors(
    error: pydantic.ValidationError,
    model: type[pydantic.BaseModel],
    root_name: str = "body",
) -> str:
    """Returns the errors of a failed validation as one line.

    The arguments are those of `list_field_errors`.
    """
    return "; ".join(
        str(field_error)
        for field_error in list_field_errors(error, model, root_name)
    )


def describe_range(schema: dict[str, Any], root: dict[str, Any]) -> str:
    """Describes the values that a JSON schema allows.

    Args:
        schema: Schema of one field.
        root: The complete schema with the definitions.
    """
    schema = _resolve_reference(schema, root)
    if "anyOf" in schema:
        parts = [describe_range(part, root) for part in schema["anyOf"]]
        return " or ".join(dict.fromkeys(parts))
    if "enum" in schema:
        return "one of " + ", ".join(str(value) for value in schema["enum"])
    if "const" in schema:
        return str(schema["const"])
    describe = _DESCRIBERS.get(schema.get("type", ""), lambda _: "")
    return describe(schema)


def _choose_code(kind: str) -> str:
    if kind in _CODES:
        return _CODES[kind]
    return "wrong_type" if kind.endswith(("_type", "_parsing")) else "bad_form"


def _describe_allowed(schema: dict, path: list, kind: str) -> str:
    if kind == "value_error":
        return ""
    if kind == "extra_forbidden":
        path = path[:-1]
    return describe_range(_find_subschema(schema, path), schema)


def _resolve_reference(schema: dict, root: dict) -> dict:
    while "$ref" in schema:
        name = schema["$ref"].rpartition("/")[2]
        schema = root["$defs"][name]
    return schema


def _find_subschema(root: dict, path: list) -> dict:
    schema = _resolve_reference(root, root)
    for part in path:
        options = [schema, *schema.get("anyOf", [])]
        options = [_resolve_reference(option, root) for option in options]
        key = "items" if isinstance(part, int) else "properties"
        found = next((option for option in options if key in option), None)
        if found is None:
            return schema
        child = found[key]
        if key == "properties":
            if part not in child:
                return found
            child = child[part]
        schema = _resolve_reference(child, root)
    return schema


def _describe_number(schema: dict) -> str:
    kind = "whole number" if schema["type"] == "integer" else "number"
    parts = [kind]
    if "minimum" in schema:
        parts.append(f"from {schema['minimum']:.15g}")
    if "exclusiveMinimum" in schema and schema["type"] == "integer":
        parts.append(f"from {schema['exclusiveMinimum'] + 1}")
    elif "exclusiveMinimum" in schema:
        parts.append(f"above {schema['exclusiveMinimum']:.15g}")
    if "maximum" in schema:
        parts.append(f"to {schema['maximum']:.15g}")
    if "exclusiveMaximum" in schema:
        parts.append(f"below {schema['exclusiveMaximum']:.15g}")
    return " ".join(parts)


def _describe_text(schema: dict) -> str:
    if "pattern" in schema:
        return f"text of the form {schema['pattern']}"
    kind = {
        "binary": "base64",
        "base64url": "base64",
        "ipvanyaddress": "an IP number",
        "uri": "a URL",
    }.get(schema.get("format", ""), "text")
    if "maxLength" in schema:
        unit = "bytes" if kind == "base64" else "characters"
        return f"{kind} of at most {schema['maxLength']} {unit}"
    return kind


def _describe_list(schema: dict) -> str:
    if "maxItems" in schema:
        return f"list of at most {schema['maxItems']} items"
    return "list"


def _describe_object(schema: dict) -> str:
    fields = ", ".join(schema.get("properties", {}))
    return f"object with the fields {fields}" if fields else "object"


_DESCRIBERS = {
    "integer": _describe_number,
    "number": _describe_number,
    "string": _describe_text,
    "boolean": lambda _: "true or false",
    "array": _describe_list,
    "object": _describe_object,
    "null": lambda _: "nothing",
}
