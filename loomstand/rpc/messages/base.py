"""Base classes of all messages: conversion from and to the mapping on the wire, and its error."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from functools import cache
from typing import ClassVar, Self

import msgspec
from msgspec import inspect

from loomstand.rpc.errors import RpcError
from loomstand.rpc.network import Body

# By default msgspec converts bytes to base64 text; frames carry them unchanged.
_NATIVE_TYPES = (bytes,)


class MessageError(RpcError, ValueError):
    """A body isn't a message of the expected class.

    A registry refuses the call with this text, after the operation's name. It is part of the wire
    format and must not change: `KeyError: 'name'` for a missing key.
    """


class Message(msgspec.Struct, frozen=True, kw_only=True):
    """A request or a response; each subclass documents its fields.

    Unknown keys are ignored, and fields with a default may be absent, so that programs of adjacent
    releases are compatible. Numbers are read leniently: `"5"` and `5.0` are 5, as in earlier
    releases; `5.5`, which no release sends, isn't accepted for an integer.
    """

    def to_wire(self) -> Body:
        """Returns the mapping that `frames.encode_frame` takes."""
        body: Body
        if _carries_bytes(type(self)):
            body = msgspec.to_builtins(self, builtin_types=_NATIVE_TYPES)
        else:
            body = msgspec.to_builtins(self)  # takes half as long as with `builtin_types`
        return body

    @classmethod
    def from_wire(cls, body: Body) -> Self:
        """Decodes a body.

        Raises:
            MessageError: A key is missing, or a value has the wrong type.
        """
        try:
            return msgspec.convert(body, cls)  # strict, as programs of this release send
        except msgspec.ValidationError:
            return cls._from_lenient_wire(body)

    @classmethod
    def _from_lenient_wire(cls, body: Body) -> Self:
        try:
            return msgspec.convert(body, cls, strict=False)
        except msgspec.ValidationError as error:
            missing = next(_missing_keys(cls, body), None)
            if missing is not None:
                raise MessageError(f"KeyError: {missing!r}") from error
            raise MessageError(f"ValueError: {error}") from error


@cache
def _carries_bytes(message_type: type[Message]) -> bool:
    """Returns whether a field of the class, or of a value nested in it, has type bytes."""
    return _has_bytes(inspect.type_info(message_type))


def _has_bytes(type_info: inspect.Type) -> bool:
    """Returns whether a type is bytes or contains it in a struct, union or collection."""
    inner: list[inspect.Type] = []
    for attribute in ("types", "item_type", "item_types", "key_type", "value_type"):
        found = getattr(type_info, attribute, ())
        inner.extend(found if isinstance(found, tuple) else (found,))
    if isinstance(type_info, inspect.StructType):
        inner.extend(field.type for field in type_info.fields)
    return isinstance(type_info, inspect.BytesType) or any(map(_has_bytes, inner))


def _missing_keys(message_type: type[Message], body: Mapping[str, object]) -> Iterator[str]:
    for field in msgspec.structs.fields(message_type):
        if field.required and field.encode_name not in body:
            yield field.encode_name


class Request(Message, frozen=True, kw_only=True):
    """A request; the frame carries its operation beside the body."""

    operation: ClassVar[str]


class EmptyRequest(Request, frozen=True, kw_only=True):
    """A request whose body is empty."""


class Acknowledgement(Message, frozen=True, kw_only=True):
    """The empty response: the request was executed."""
