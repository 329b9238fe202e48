"""Decoding that ends in the document's model or in one error."""

from collections.abc import Callable
from typing import TypeVar

import msgspec

__all__ = ["decode_document"]

T = TypeVar("T")


def decode_document(decode: Callable[[bytes], T], content: bytes) -> T:
    """Return what a decoder of `msgspec` makes of a document.

    Raises
    ------
    ValueError
        If the content is malformed, doesn't fit the model or is nested too deeply. Deep nesting
        matters also in fields that the model doesn't have.
    """
    try:
        return decode(content)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError, OverflowError) as e:
        raise ValueError(f"{type(e).__name__}: {e}") from e
