"""Frames: bounded, and after the handshake sealed against forgery."""

import hashlib
import hmac
from collections.abc import Iterator

import msgpack

__all__ = [
    "MAX_FRAME_BYTES",
    "TAG_BYTES",
    "FrameInvalid",
    "FrameReader",
    "FrameSealer",
    "pack_frame",
]

MAX_FRAME_BYTES = 256 * 1024
# Most bytes that the reactor hands over in one read.
MAX_READ_BYTES = 64 * 1024
INITIAL_BUFFER_BYTES = 1024
FRAME_HEADER_BYTES = 5
TAG_BYTES = 16
SEQUENCE_NUMBER_BYTES = 8


class FrameInvalid(ValueError):
    """Bytes that are no frame, or a frame that was not sent by the peer in this order."""


def pack_frame(content: bytes) -> bytes:
    """Return the bytes of a frame, one msgpack ``bin``."""
    frame: bytes = msgpack.packb(content)
    return frame


class FrameReader:
    """Splits a stream into frames.

    Notes
    -----
    Nothing is allocated for the length that a frame's header claims: the buffer grows with the
    bytes that arrived, and never beyond one frame and one read. A frame that claims more than
    its bound is refused at the latest when the buffer is full.
    """

    def __init__(self) -> None:
        self._unpacker = msgpack.Unpacker(
            use_list=False,
            max_buffer_size=MAX_FRAME_BYTES + FRAME_HEADER_BYTES + MAX_READ_BYTES,
            # The first allocation; by default it would be the whole buffer.
            read_size=INITIAL_BUFFER_BYTES,
            max_bin_len=MAX_FRAME_BYTES,
            max_str_len=0,
            max_array_len=0,
            max_map_len=0,
            max_ext_len=0,
        )

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Return the contents of the frames that `data` completes.

        Raises
        ------
        FrameInvalid
            If the stream holds anything but frames within the bound.
        """
        for start in range(0, len(data), MAX_READ_BYTES):
            yield from self._feed_chunk(data[start : start + MAX_READ_BYTES])

    def _feed_chunk(self, data: bytes) -> Iterator[bytes]:
        try:
            self._unpacker.feed(data)
        except msgpack.BufferFull as e:
            raise FrameInvalid("a frame is larger than its bound") from e
        while True:
            try:
                content = self._unpacker.unpack()
            except msgpack.OutOfData:
                return
            except Exception as e:
                raise FrameInvalid(f"no frame: {type(e).__name__}: {e}") from e
            if type(content) is not bytes:
                raise FrameInvalid(f"expected a frame, found {type(content).__name__}")
            yield content


class FrameSealer:
    """Seals the frames of one direction of one stream, or opens them at the other end.

    Parameters
    ----------
    key : bytes
        Key of this direction of this stream, at most 64 bytes.

    Notes
    -----
    A frame's content is a tag followed by the body. The tag is a keyed BLAKE2b digest of the
    frame's place in the stream and the body, so that a frame that is forged, changed, repeated,
    left out or moved is refused [1]_. Bodies are not encrypted.

    References
    ----------
    .. [1] RFC 7693, The BLAKE2 Cryptographic Hash and Message Authentication Code.
    """

    def __init__(self, key: bytes) -> None:
        self._key = key
        self._sequence_number = 0

    def seal(self, body: bytes) -> bytes:
        """Return the content of the next frame."""
        return self._next_tag(body) + body

    def open(self, content: bytes) -> bytes:
        """Return the body of the next frame.

        Raises
        ------
        FrameInvalid
            If the tag is wrong.
        """
        tag, body = content[:TAG_BYTES], content[TAG_BYTES:]
        if not hmac.compare_digest(tag, self._next_tag(body)):
            raise FrameInvalid("a frame's tag is wrong")
        return body

    def _next_tag(self, body: bytes) -> bytes:
        sequence_number = self._sequence_number.to_bytes(SEQUENCE_NUMBER_BYTES)
        self._sequence_number += 1
        digest = hashlib.blake2b(sequence_number, digest_size=TAG_BYTES, key=self._key)
        digest.update(body)
        return digest.digest()
