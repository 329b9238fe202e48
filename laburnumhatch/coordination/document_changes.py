"""Differences between two versions of a document, packed for a slow link."""

import zlib

import msgspec

__all__ = ["apply_changes", "pack_changes"]

# Ends an entry of a JSON object.
SEPARATOR = b"}"
# The fastest level; JSON with many similar entries shrinks hardly further with the others.
COMPRESSION_LEVEL = 1
# Longest document, as long as the longest answer of the store.
MAX_DOCUMENT_BYTES = 8 * 1_048_576

# Parts of a document: new bytes, or the offset and the length of a span of the former document.
_Part = bytes | tuple[int, int]

_decoder = msgspec.msgpack.Decoder(list[_Part])


def pack_changes(former: bytes, content: bytes) -> bytes:
    """Return what turns the former document into `content`, which is all of it if that is empty.

    Examples
    --------
    >>> packed = pack_changes(b"{a}{b}", b"{a}{c}{b}")
    >>> apply_changes(b"{a}{b}", packed)
    b'{a}{c}{b}'
    """
    offsets: dict[bytes, int] = {}
    offset = 0
    for segment in _segments(former):
        offsets.setdefault(segment, offset)
        offset += len(segment)
    parts: list[_Part] = []
    for segment in _segments(content):
        last = parts[-1] if parts else None
        # The next segment of the former document goes before an equal one elsewhere.
        if isinstance(last, tuple) and former.startswith(segment, sum(last)):
            parts[-1] = last[0], last[1] + len(segment)
        elif segment in offsets:
            parts.append((offsets[segment], len(segment)))
        else:
            parts.append(segment)
    return zlib.compress(msgspec.msgpack.encode(parts), COMPRESSION_LEVEL)


def apply_changes(former: bytes, packed: bytes) -> bytes:
    """Return the document that `pack_changes` was given.

    Raises
    ------
    ValueError
        If the changes are malformed, don't fit the former document, or give too long a one.
    """
    try:
        unpacker = zlib.decompressobj()
        unpacked = unpacker.decompress(packed, MAX_DOCUMENT_BYTES)
        if not unpacker.eof:
            raise ValueError("the changes are incomplete or too long")
        parts = _decoder.decode(unpacked)
    except (zlib.error, msgspec.MsgspecError) as e:
        raise ValueError(f"{type(e).__name__}: {e}") from e
    spans = [part for part in parts if isinstance(part, tuple)]
    if any(offset < 0 or length < 0 or offset + length > len(former) for offset, length in spans):
        raise ValueError("the changes belong to another document")
    if sum(length for _, length in spans) + len(unpacked) > MAX_DOCUMENT_BYTES:
        raise ValueError("the document is too long")
    return b"".join(
        former[part[0] : part[0] + part[1]] if isinstance(part, tuple) else part for part in parts
    )


def _segments(content: bytes) -> list[bytes]:
    """Return the document in segments that end with the separator."""
    *segments, last = content.split(SEPARATOR)
    return [segment + SEPARATOR for segment in segments] + [last] * bool(last)
