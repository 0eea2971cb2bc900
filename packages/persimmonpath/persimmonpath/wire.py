"""JSON encoding of data classes and pydantic models."""

import functools
from typing import Any
from typing import TypeVar

import pydantic

from persimmonpath import errors

T = TypeVar("T")

# Answers of tasks are arbitrary bytes, which JSON strings cannot represent.
_BYTES = {"ser_json_bytes": "base64", "val_json_bytes": "base64"}


def uses_base64(cls: type[T]) -> type[T]:
    """Class decorator that encodes fields of type bytes as base64 in JSON."""
    cls.__pydantic_config__ = pydantic.ConfigDict(**_BYTES)
    return cls


@functools.cache
def _get_adapter(type_: Any) -> pydantic.TypeAdapter:
    return pydantic.TypeAdapter(type_)


def encode(value: Any, type_: Any = None) -> bytes:
    """Encodes a data class, model or plain value as JSON.

    Args:
        value: The value.
        type_: Type by which to encode it; its own type by default.
    """
    return _get_adapter(type_ or type(value)).dump_json(value)


def decode(type_: type[T], body: bytes | str) -> T:
    """Decodes and validates a JSON body.

    Args:
        type_: Type of the result.
        body: The JSON text.

    Raises:
        errors.InputError: If the body is not a valid `type_`.
    """
    try:
        return _get_adapter(type_).validate_json(body)
    except pydantic.ValidationError as error:
        details = error.errors(include_url=False)[0]
        field = ".".join(str(part) for part in details["loc"]) or "body"
        raise errors.InputError(field, details["msg"], "") from error
