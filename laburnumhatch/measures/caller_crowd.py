"""Callers that aren't controlled, as a process of their own.

``python -m laburnumhatch.measures.caller_crowd JSON`` opens the connections that the fields of a
`Crowd` describe, sends on each until it has sent all or isn't read any more, prints ``sent``, and
keeps the connections open until it is ended.
"""

import json
import selectors
import signal
import socket
import sys
from collections.abc import Callable, Iterator, Mapping
from dataclasses import asdict, dataclass

__all__ = ["BEHAVIOURS", "Crowd", "run"]

# Receive buffer of a connection whose answers aren't read.
RECEIVE_BUFFER_BYTES = 4096
# Time without any progress after which the crowd has sent what it can.
STALL_S = 1.0
PIECE_BYTES = 1024
CHUNK_BYTES = 8192
# Requests that are sent ahead on one connection, and the length of one.
AHEAD_COUNT, AHEAD_BYTES = 40, 12_000
HEADER_END = b"\r\n"


@dataclass(frozen=True, slots=True)
class Crowd:
    """Callers that do the same.

    Attributes
    ----------
    behaviour : str
        Key of `BEHAVIOURS`.
    host, port : str, int
        Address of the gateway.
    target : str
    fields : str
        Header lines that each request has, with their line ends.
    count : int
        Number of connections.
    max_header_bytes, max_body_bytes : int
        Limits of the gateway.
    """

    behaviour: str
    host: str
    port: int
    target: str
    fields: str
    count: int
    max_header_bytes: int
    max_body_bytes: int

    def to_argument(self) -> str:
        """Return the argument of the process."""
        return json.dumps(asdict(self))

    def header(self, method: str, framing: str) -> bytes:
        """Return a header without the empty line at its end."""
        return f"{method} {self.target} HTTP/1.1\r\n{self.fields}{framing}".encode()

    def body_header(self, length: int) -> bytes:
        """Return the whole header of a request with a body."""
        return self.header("POST", f"content-length: {length}\r\n") + HEADER_END


def _send_nothing(crowd: Crowd) -> Iterator[bytes]:
    yield from ()


def _stop_in_header(crowd: Crowd) -> Iterator[bytes]:
    """Send single bytes of a header, and stop half-way."""
    for byte in crowd.header("GET", "x-unfinished: "):
        yield bytes([byte])


def _stop_in_body(crowd: Crowd) -> Iterator[bytes]:
    """Send a body of the largest length in one piece, and stop one byte before its end."""
    yield crowd.body_header(crowd.max_body_bytes) + bytes(crowd.max_body_bytes - 1)


def _stop_in_body_of_pieces(crowd: Crowd) -> Iterator[bytes]:
    yield crowd.body_header(crowd.max_body_bytes)
    piece = bytes(PIECE_BYTES)
    for _ in range(crowd.max_body_bytes // PIECE_BYTES - 1):
        yield piece
    yield piece[:-1]


def _chunks(crowd: Crowd, body_bytes: int) -> Iterator[bytes]:
    yield crowd.header("POST", "transfer-encoding: chunked\r\n") + HEADER_END
    chunk = b"%x\r\n%s\r\n" % (CHUNK_BYTES, bytes(CHUNK_BYTES))
    for _ in range(body_bytes // CHUNK_BYTES):
        yield chunk


def _stop_before_last_chunk(crowd: Crowd) -> Iterator[bytes]:
    yield from _chunks(crowd, crowd.max_body_bytes)


def _exceed_body_limit(crowd: Crowd) -> Iterator[bytes]:
    yield from _chunks(crowd, 8 * crowd.max_body_bytes)


def _send_many_fields(crowd: Crowd) -> Iterator[bytes]:
    """Send a header of the shortest fields, and stop before the end of the body."""
    header = crowd.header("POST", "content-length: 2\r\n")
    field = b"a:\r\n"
    # The last bytes are left for the end of the header.
    count = (crowd.max_header_bytes - len(header) - len(HEADER_END) - 1) // len(field)
    yield header + field * count + HEADER_END + b"x"


def _send_ahead(crowd: Crowd) -> Iterator[bytes]:
    """Send many requests, whose answers aren't read."""
    header = crowd.header("GET", "x-padding: ")
    request = header + b"x" * (AHEAD_BYTES - len(header)) + 2 * HEADER_END
    for _ in range(AHEAD_COUNT):
        yield request


BEHAVIOURS: Mapping[str, Callable[[Crowd], Iterator[bytes]]] = {
    "silent": _send_nothing,
    "stops in header": _stop_in_header,
    "stops in body": _stop_in_body,
    "stops in body of pieces": _stop_in_body_of_pieces,
    "stops before last chunk": _stop_before_last_chunk,
    "exceeds body limit": _exceed_body_limit,
    "many fields": _send_many_fields,
    "sends ahead": _send_ahead,
}


def run(crowd: Crowd) -> None:
    """Send what the callers send, and wait for a signal."""
    selector = selectors.DefaultSelector()
    # What is left of the piece that is being sent, and the further ones, by connection.
    pending: dict[socket.socket, tuple[memoryview, Iterator[bytes]]] = {}
    for _ in range(crowd.count):
        connection = socket.socket()
        if crowd.behaviour == "sends ahead":
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        connection.setblocking(False)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection.connect_ex((crowd.host, crowd.port))
        pending[connection] = (memoryview(b""), BEHAVIOURS[crowd.behaviour](crowd))
        selector.register(connection, selectors.EVENT_WRITE)
    while pending:
        ready = selector.select(STALL_S)
        if not ready:
            break
        for key, _ in ready:
            connection = key.fileobj  # type: ignore[assignment]
            rest = _send(connection, *pending[connection])
            if rest is not None:
                pending[connection] = rest
                continue
            del pending[connection]
            selector.unregister(connection)
    print("sent", flush=True)
    signal.pause()


def _send(
    connection: socket.socket, piece: memoryview, pieces: Iterator[bytes]
) -> tuple[memoryview, Iterator[bytes]] | None:
    """Send a part; return what is left, or None if the connection has sent all or is closed."""
    if not piece:
        following = next(pieces, None)
        if following is None:
            return None
        piece = memoryview(following)
    try:
        return piece[connection.send(piece) :], pieces
    except BlockingIOError:
        return piece, pieces
    except OSError:
        # The gateway has closed the connection, which it may do.
        connection.close()
        return None


if __name__ == "__main__":
    run(Crowd(**json.loads(sys.argv[1])))
