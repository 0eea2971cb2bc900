"""JSON form of data classes and validated models."""

import functools
from typing import Any
from typing import TypeVar

import pydantic

from persimmonpath import errors

T = TypeVar("T")

# Answers are bytes of any content, which JSON strings cannot hold.
_BYTES = {"ser_json_bytes": "base64", "val_json_bytes": "base64"}


def uses_base64(cls: type[T]) -> type[T]:
    """Class decorator: fields of type bytes are base64 in JSON."""
    cls.__pydantic_config__ = pydantic.ConfigDict(**_BYTES)
    return cls


@functools.cache
def _get_adapter(type_: Any) -> pydantic.TypeAdapter:
    return pydantic.TypeAdapter(type_)


def encode(value: Any, type_: Any = None) -> bytes:
    """Returns the JSON form of a data class, model or plain value."""
    return _get_adapter(type_ or type(value)).dump_json(value)


def decode(type_: type[T], body: bytes | str) -> T:
    """Parses and validates a JSON body.

    Args:
        type_: Type to produce.
        body: The JSON text.

    Raises:
        errors.InputError: If the body does not describe a `type_`.
    """
    try:
        return _get_adapter(type_).validate_json(body)
    except pydantic.ValidationError as error:
        details = error.errors(include_url=False)[0]
        field = ".".join(str(part) for part in details["loc"]) or "body"
        raise errors.InputError(field, details["msg"], "") from error
