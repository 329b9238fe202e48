"""Frames of bounded length, authenticated once the handshake is complete."""

import hashlib
import hmac
from collections.abc import Iterator

import msgpack

__all__ = [
    "MAX_FRAME_BYTES",
    "TAG_BYTES",
    "FrameInvalid",
    "FrameReader",
    "FrameAuthenticator",
    "pack_frame",
]

MAX_FRAME_BYTES = 256 * 1024
# Number of bytes that are parsed at a time; the reactor reads at most as many at once.
MAX_READ_BYTES = 64 * 1024
INITIAL_BUFFER_BYTES = 1024
FRAME_HEADER_BYTES = 5
TAG_BYTES = 16
SEQUENCE_NUMBER_BYTES = 8


class FrameInvalid(ValueError):
    """Raised for bytes that are not a frame and for frames whose authentication tag is wrong."""


def pack_frame(content: bytes) -> bytes:
    """Return the bytes of a frame, which is one msgpack ``bin`` object."""
    frame: bytes = msgpack.packb(content)
    return frame


class FrameReader:
    """Incremental parser that splits a byte stream into frames.

    Notes
    -----
    No memory is allocated for the length that a frame's header claims: the buffer grows with the
    bytes that have arrived and holds at most one frame and one read. A frame that claims more
    than `MAX_FRAME_BYTES` is rejected at the latest when the buffer is full.
    """

    def __init__(self) -> None:
        self._unpacker = msgpack.Unpacker(
            use_list=False,
            max_buffer_size=MAX_FRAME_BYTES + FRAME_HEADER_BYTES + MAX_READ_BYTES,
            # Size of the first allocation, which by default is the maximum size of the buffer.
            read_size=INITIAL_BUFFER_BYTES,
            max_bin_len=MAX_FRAME_BYTES,
            max_str_len=0,
            max_array_len=0,
            max_map_len=0,
            max_ext_len=0,
        )

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Yield the contents of the frames that `data` completes.

        Raises
        ------
        FrameInvalid
            If the stream contains anything but frames of at most `MAX_FRAME_BYTES`.
        """
        for start in range(0, len(data), MAX_READ_BYTES):
            yield from self._feed_chunk(data[start : start + MAX_READ_BYTES])

    def _feed_chunk(self, data: bytes) -> Iterator[bytes]:
        try:
            self._unpacker.feed(data)
        except msgpack.BufferFull as e:
            raise FrameInvalid("a frame exceeds the maximum length") from e
        while True:
            try:
                content = self._unpacker.unpack()
            except msgpack.OutOfData:
                return
            except Exception as e:
                raise FrameInvalid(f"not a frame: {type(e).__name__}: {e}") from e
            if type(content) is not bytes:
                raise FrameInvalid(f"expected a frame, found {type(content).__name__}")
            yield content


class FrameAuthenticator:
    """Authenticator of the frames in one direction of one stream.

    The sender adds authentication tags with `add_tag`, and the receiver checks them with `verify`.

    Parameters
    ----------
    key : bytes
        Key of this direction of this stream, at most 64 bytes.

    Notes
    -----
    A frame's content is a tag followed by the body. The tag is a keyed BLAKE2b digest of the
    frame's sequence number and the body, so that a frame that is forged, modified, replayed,
    omitted or reordered is rejected [1]_. Bodies are not encrypted.

    References
    ----------
    .. [1] RFC 7693, The BLAKE2 Cryptographic Hash and Message Authentication Code.
    """

    def __init__(self, key: bytes) -> None:
        self._key = key
        self._sequence_number = 0

    def add_tag(self, body: bytes) -> bytes:
        """Return the content of the next frame, the tag and `body`."""
        return self._next_tag(body) + body

    def verify(self, content: bytes) -> bytes:
        """Check the tag of the next frame and return its body.

        Raises
        ------
        FrameInvalid
            If the tag is wrong.
        """
        tag, body = content[:TAG_BYTES], content[TAG_BYTES:]
        if not hmac.compare_digest(tag, self._next_tag(body)):
            raise FrameInvalid("a frame's authentication tag is wrong")
        return body

    def _next_tag(self, body: bytes) -> bytes:
        sequence_number = self._sequence_number.to_bytes(SEQUENCE_NUMBER_BYTES)
        self._sequence_number += 1
        digest = hashlib.blake2b(sequence_number, digest_size=TAG_BYTES, key=self._key)
        digest.update(body)
        return digest.digest()
