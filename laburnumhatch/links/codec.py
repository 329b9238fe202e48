"""Codec that converts message dataclasses to msgpack bodies and back."""

import types
from collections.abc import Callable, Iterable, Sequence
from dataclasses import fields, is_dataclass
from datetime import timedelta
from enum import Enum
from typing import Any, Union, get_args, get_origin, get_type_hints

import msgpack

__all__ = ["Codec", "MessageInvalid", "UnknownMessage"]

MICROSECOND = timedelta(microseconds=1)

Converter = Callable[[Any], Any]


class MessageInvalid(ValueError):
    """Raised for a body that is not a valid message; the text names the invalid field."""


class UnknownMessage(MessageInvalid):
    """Raised for a well-formed body whose message number is not registered.

    Such a body may come from an instance of a newer release.
    """


class Codec:
    """Registry of numbered message types that encodes messages to bytes and decodes them.

    Parameters
    ----------
    families : iterable of (int, sequence of type)
        First number of each family and its types, which get consecutive numbers. New types must
        be added at the end of a family, so that the numbers of the other types don't change.

    Raises
    ------
    TypeError
        If a type is not a dataclass or a field's type can't be sent.
    ValueError
        If two types get the same number.

    Notes
    -----
    A body is ``[number, field, ...]``. A field may be a str, int, float, bool, bytes, timedelta
    (sent as microseconds), enumeration member (sent as its value), None, dataclass (sent as the
    list of its fields) or a tuple of these; ``X | None`` is allowed. Bodies are validated strictly
    against the field types, in time linear in their length.

    Examples
    --------
    >>> from dataclasses import dataclass
    >>> @dataclass(frozen=True)
    ... class Ping:
    ...     sequence: int
    >>> codec = Codec([(100, (Ping,))])
    >>> codec.decode(codec.encode(Ping(7)))
    Ping(sequence=7)
    """

    def __init__(self, families: Iterable[tuple[int, Sequence[type]]]) -> None:
        self._numbers: dict[type, int] = {}
        self._types: dict[int, type] = {}
        self._encoders: dict[type, Converter] = {}
        self._decoders: dict[int, Converter] = {}
        # The last message and its body: a message to all instances is encoded once.
        self._last_message: object = None
        self._last_body = b""
        for first_number, message_types in families:
            for number, message_type in enumerate(message_types, first_number):
                self._register(number, message_type)

    def is_registered(self, message_type: type) -> bool:
        """Return whether a message type is registered."""
        return message_type in self._numbers

    def encode(self, message: object) -> bytes:
        """Return the body of a message.

        Raises
        ------
        TypeError
            If the type of the message isn't registered.
        """
        if message is self._last_message:
            return self._last_body
        number = self._numbers.get(type(message))
        if number is None:
            raise TypeError(f"{type(message).__name__} is not registered with the codec")
        body: bytes = msgpack.packb([number, *self._encoders[type(message)](message)])
        self._last_message, self._last_body = message, body
        return body

    def decode(self, body: bytes) -> Any:
        """Return the message in a body.

        Raises
        ------
        MessageInvalid
            If the body isn't a valid message. This is `UnknownMessage` if only its number is not
            registered.
        """
        try:
            # No message contains msgpack extension types or timestamps.
            items = msgpack.unpackb(body, use_list=False, ext_hook=_reject_ext, timestamp=0)
        except Exception as e:
            raise MessageInvalid(f"not msgpack: {type(e).__name__}: {e}") from e
        if type(items) is not tuple or not items or type(items[0]) is not int:
            raise MessageInvalid("expected an array that starts with a number")
        decoder = self._decoders.get(items[0])
        if decoder is None:
            raise UnknownMessage(f"message number {items[0]} is not registered")
        return decoder(items[1:])

    def _register(self, number: int, message_type: type) -> None:
        if number in self._types:
            raise ValueError(f"{message_type} and {self._types[number]} both have {number}")
        encode, decode = _dataclass_converters(message_type)
        self._types[number] = message_type
        self._numbers[message_type] = number
        self._encoders[message_type] = encode
        self._decoders[number] = decode


def _reject_ext(code: int, data: bytes) -> Any:
    raise ValueError(f"unexpected extension type {code}")


def _converters(field_type: Any, field_path: str) -> tuple[Converter, Converter]:
    """Return the encoder and the decoder of a field type.

    `field_path` names the field in error messages.
    """
    if field_type in _SCALAR_CONVERTERS:
        return _SCALAR_CONVERTERS[field_type](field_path)
    if isinstance(field_type, type) and issubclass(field_type, Enum):
        return _enum_converters(field_type, field_path)
    if is_dataclass(field_type) and isinstance(field_type, type):
        return _dataclass_converters(field_type)
    origin = get_origin(field_type)
    if origin is tuple:
        return _tuple_converters(get_args(field_type), field_path)
    if origin in (Union, types.UnionType):
        return _optional_converters(get_args(field_type), field_path)
    raise TypeError(f"{field_path}: {field_type} is not supported")


def _exact_type_converters(expected_type: type) -> Callable[[str], tuple[Converter, Converter]]:
    def build(field_path: str) -> tuple[Converter, Converter]:
        def decode(value: Any) -> Any:
            if type(value) is not expected_type:
                raise MessageInvalid(f"{field_path}: expected {expected_type.__name__}")
            return value

        return _identity, decode

    return build


def _timedelta_converters(field_path: str) -> tuple[Converter, Converter]:
    decode_int = _exact_type_converters(int)(field_path)[1]

    def encode(value: timedelta) -> int:
        return value // MICROSECOND

    def decode(value: Any) -> timedelta:
        try:
            return decode_int(value) * MICROSECOND
        except OverflowError as e:
            raise MessageInvalid(f"{field_path}: duration out of range") from e

    return encode, decode


def _float_converters(field_path: str) -> tuple[Converter, Converter]:
    return float, _exact_type_converters(float)(field_path)[1]


def _identity(value: Any) -> Any:
    return value


_SCALAR_CONVERTERS: dict[Any, Callable[[str], tuple[Converter, Converter]]] = {
    str: _exact_type_converters(str),
    int: _exact_type_converters(int),
    bool: _exact_type_converters(bool),
    bytes: _exact_type_converters(bytes),
    float: _float_converters,
    timedelta: _timedelta_converters,
}


def _enum_converters(enum_type: type[Enum], field_path: str) -> tuple[Converter, Converter]:
    members = {(type(member.value), member.value): member for member in enum_type}

    def encode(member: Enum) -> Any:
        return member.value

    def decode(value: Any) -> Any:
        if not isinstance(value, str | int) or (type(value), value) not in members:
            raise MessageInvalid(f"{field_path}: expected a {enum_type.__name__}")
        return members[type(value), value]

    return encode, decode


def _optional_converters(
    member_types: tuple[Any, ...], field_path: str
) -> tuple[Converter, Converter]:
    non_none_types = [
        member_type for member_type in member_types if member_type is not types.NoneType
    ]
    if len(non_none_types) != 1 or len(member_types) != 2:
        raise TypeError(f"{field_path}: X | None is the only supported union")
    encode_inner, decode_inner = _converters(non_none_types[0], field_path)

    def encode(value: Any) -> Any:
        return None if value is None else encode_inner(value)

    def decode(value: Any) -> Any:
        return None if value is None else decode_inner(value)

    return encode, decode


def _tuple_converters(item_types: tuple[Any, ...], field_path: str) -> tuple[Converter, Converter]:
    if len(item_types) == 2 and item_types[1] is Ellipsis:
        return _sequence_converters(item_types[0], field_path)
    pairs = [_converters(item_type, f"{field_path}[{i}]") for i, item_type in enumerate(item_types)]

    def encode(value: tuple[Any, ...]) -> list[Any]:
        return [pair[0](item) for pair, item in zip(pairs, value, strict=True)]

    def decode(value: Any) -> tuple[Any, ...]:
        if type(value) is not tuple or len(value) != len(pairs):
            raise MessageInvalid(f"{field_path}: expected {len(pairs)} items")
        return tuple(pair[1](item) for pair, item in zip(pairs, value, strict=True))

    return encode, decode


def _sequence_converters(item_type: Any, field_path: str) -> tuple[Converter, Converter]:
    encode_item, decode_item = _converters(item_type, f"{field_path}[]")

    def encode(value: tuple[Any, ...]) -> Any:
        return value if encode_item is _identity else [encode_item(item) for item in value]

    def decode(value: Any) -> tuple[Any, ...]:
        if type(value) is not tuple:
            raise MessageInvalid(f"{field_path}: expected an array")
        return tuple(decode_item(item) for item in value)

    return encode, decode


def _dataclass_converters(dataclass_type: type) -> tuple[Converter, Converter]:
    if not is_dataclass(dataclass_type):
        raise TypeError(f"{dataclass_type} is not a dataclass")
    hints = get_type_hints(dataclass_type)
    names = [field.name for field in fields(dataclass_type)]
    pairs = [_converters(hints[name], f"{dataclass_type.__name__}.{name}") for name in names]
    encoders = [(name, pair[0]) for name, pair in zip(names, pairs, strict=True)]
    decoders = [pair[1] for pair in pairs]

    def encode(value: Any) -> list[Any]:
        return [converter(getattr(value, name)) for name, converter in encoders]

    def decode(items: Any) -> Any:
        if type(items) is not tuple or len(items) != len(decoders):
            raise MessageInvalid(f"{dataclass_type.__name__}: expected {len(decoders)} fields")
        values = [converter(item) for converter, item in zip(decoders, items, strict=True)]
        try:
            return dataclass_type(*values)
        except ValueError as e:
            raise MessageInvalid(f"{dataclass_type.__name__}: {e}") from e

    return encode, decode
