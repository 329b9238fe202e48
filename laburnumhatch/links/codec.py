"""Codec between message dataclasses and msgpack bodies."""

import types
from collections.abc import Callable, Iterable, Sequence
from dataclasses import fields, is_dataclass
from datetime import timedelta
from enum import Enum
from typing import Any, Union, get_args, get_origin, get_type_hints

import msgpack

__all__ = ["Codec", "MessageInvalid", "UnknownMessage"]

MICROSECOND = timedelta(microseconds=1)

Convert = Callable[[Any], Any]


class MessageInvalid(ValueError):
    """A body that is not a valid message; says which field is wrong."""


class UnknownMessage(MessageInvalid):
    """A well-formed body whose number is not registered, as from a newer release."""


class Codec:
    """Numbered message types and their translation to bytes and back.

    Parameters
    ----------
    families : iterable of (int, sequence of type)
        The first number of each family and its types, which get consecutive numbers. New types
        go at the end of a family, so that the numbers of the others stay.

    Raises
    ------
    TypeError
        If a type is not a dataclass or a field's type can't be sent.
    ValueError
        If two types get one number.

    Notes
    -----
    A body is ``[number, field, ...]``. Fields are str, int, float, bool, bytes, timedelta
    (microseconds), enumerations (their value), None, dataclasses (lists of their fields) and
    tuples of these; ``X | None`` is allowed. Bodies are checked strictly against the field types,
    in time linear in their length.

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
        self._encoders: dict[type, Convert] = {}
        self._decoders: dict[int, Convert] = {}
        for first, message_types in families:
            for number, message_type in enumerate(message_types, first):
                self._register(number, message_type)

    def knows(self, message_type: type) -> bool:
        """Return whether messages of a type can be sent."""
        return message_type in self._numbers

    def encode(self, message: object) -> bytes:
        """Return the body of a message.

        Raises
        ------
        TypeError
            If the type isn't registered.
        """
        number = self._numbers.get(type(message))
        if number is None:
            raise TypeError(f"{type(message).__name__} is not registered with the codec")
        body: bytes = msgpack.packb([number, *self._encoders[type(message)](message)])
        return body

    def decode(self, body: bytes) -> Any:
        """Return the message in a body.

        Raises
        ------
        MessageInvalid
            If the body isn't a message; `UnknownMessage` if only its number is unknown.
        """
        try:
            # Ext types and timestamps are never sent.
            items = msgpack.unpackb(body, use_list=False, ext_hook=_refuse_ext, timestamp=0)
        except Exception as e:
            raise MessageInvalid(f"not msgpack: {type(e).__name__}: {e}") from e
        if type(items) is not tuple or not items or type(items[0]) is not int:
            raise MessageInvalid("expected an array that starts with a number")
        decoder = self._decoders.get(items[0])
        if decoder is None:
            raise UnknownMessage(f"message number {items[0]} is not known")
        return decoder(items[1:])

    def _register(self, number: int, message_type: type) -> None:
        if number in self._types:
            raise ValueError(f"{message_type} and {self._types[number]} both have {number}")
        encode, decode = _dataclass_converters(message_type)
        self._types[number] = message_type
        self._numbers[message_type] = number
        self._encoders[message_type] = encode
        self._decoders[number] = decode


def _refuse_ext(code: int, data: bytes) -> Any:
    raise ValueError(f"ext type {code}")


def _converters(kind: Any, where: str) -> tuple[Convert, Convert]:
    """Return the encoder and the decoder of a field type."""
    if kind in _PLAIN:
        return _PLAIN[kind](where)
    if isinstance(kind, type) and issubclass(kind, Enum):
        return _enum_converters(kind, where)
    if is_dataclass(kind) and isinstance(kind, type):
        return _dataclass_converters(kind)
    origin = get_origin(kind)
    if origin is tuple:
        return _tuple_converters(get_args(kind), where)
    if origin in (Union, types.UnionType):
        return _optional_converters(get_args(kind), where)
    raise TypeError(f"{where}: {kind} can't be sent")


def _exact(kind: type) -> Callable[[str], tuple[Convert, Convert]]:
    def build(where: str) -> tuple[Convert, Convert]:
        def decode(value: Any) -> Any:
            if type(value) is not kind:
                raise MessageInvalid(f"{where}: expected {kind.__name__}")
            return value

        return _same, decode

    return build


def _timedelta(where: str) -> tuple[Convert, Convert]:
    decode_int = _exact(int)(where)[1]

    def encode(value: timedelta) -> int:
        return value // MICROSECOND

    def decode(value: Any) -> timedelta:
        try:
            return decode_int(value) * MICROSECOND
        except OverflowError as e:
            raise MessageInvalid(f"{where}: duration out of range") from e

    return encode, decode


def _float(where: str) -> tuple[Convert, Convert]:
    return float, _exact(float)(where)[1]


def _same(value: Any) -> Any:
    return value


_PLAIN: dict[Any, Callable[[str], tuple[Convert, Convert]]] = {
    str: _exact(str),
    int: _exact(int),
    bool: _exact(bool),
    bytes: _exact(bytes),
    float: _float,
    timedelta: _timedelta,
}


def _enum_converters(kind: type[Enum], where: str) -> tuple[Convert, Convert]:
    members = {(type(member.value), member.value): member for member in kind}

    def encode(member: Enum) -> Any:
        return member.value

    def decode(value: Any) -> Any:
        if not isinstance(value, str | int) or (type(value), value) not in members:
            raise MessageInvalid(f"{where}: expected a {kind.__name__}")
        return members[type(value), value]

    return encode, decode


def _optional_converters(kinds: tuple[Any, ...], where: str) -> tuple[Convert, Convert]:
    others = [kind for kind in kinds if kind is not types.NoneType]
    if len(others) != 1 or len(kinds) != 2:
        raise TypeError(f"{where}: only X | None can be sent of unions")
    encode_inner, decode_inner = _converters(others[0], where)

    def encode(value: Any) -> Any:
        return None if value is None else encode_inner(value)

    def decode(value: Any) -> Any:
        return None if value is None else decode_inner(value)

    return encode, decode


def _tuple_converters(kinds: tuple[Any, ...], where: str) -> tuple[Convert, Convert]:
    if len(kinds) == 2 and kinds[1] is Ellipsis:
        return _sequence_converters(kinds[0], where)
    pairs = [_converters(kind, f"{where}[{i}]") for i, kind in enumerate(kinds)]

    def encode(value: tuple[Any, ...]) -> list[Any]:
        return [pair[0](item) for pair, item in zip(pairs, value, strict=True)]

    def decode(value: Any) -> tuple[Any, ...]:
        if type(value) is not tuple or len(value) != len(pairs):
            raise MessageInvalid(f"{where}: expected {len(pairs)} items")
        return tuple(pair[1](item) for pair, item in zip(pairs, value, strict=True))

    return encode, decode


def _sequence_converters(kind: Any, where: str) -> tuple[Convert, Convert]:
    encode_item, decode_item = _converters(kind, f"{where}[]")

    def encode(value: tuple[Any, ...]) -> Any:
        return value if encode_item is _same else [encode_item(item) for item in value]

    def decode(value: Any) -> tuple[Any, ...]:
        if type(value) is not tuple:
            raise MessageInvalid(f"{where}: expected an array")
        return tuple(decode_item(item) for item in value)

    return encode, decode


def _dataclass_converters(kind: type) -> tuple[Convert, Convert]:
    if not is_dataclass(kind):
        raise TypeError(f"{kind} is not a dataclass")
    hints = get_type_hints(kind)
    names = [field.name for field in fields(kind)]
    pairs = [_converters(hints[name], f"{kind.__name__}.{name}") for name in names]
    encoders = [(name, pair[0]) for name, pair in zip(names, pairs, strict=True)]
    decoders = [pair[1] for pair in pairs]

    def encode(value: Any) -> list[Any]:
        return [convert(getattr(value, name)) for name, convert in encoders]

    def decode(items: Any) -> Any:
        if type(items) is not tuple or len(items) != len(decoders):
            raise MessageInvalid(f"{kind.__name__}: expected {len(decoders)} fields")
        values = [convert(item) for convert, item in zip(decoders, items, strict=True)]
        try:
            return kind(*values)
        except ValueError as e:
            raise MessageInvalid(f"{kind.__name__}: {e}") from e

    return encode, decode
