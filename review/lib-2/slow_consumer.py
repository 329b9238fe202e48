"""A consumer that sends requests ahead and reads slowly."""

import asyncio
import hashlib
import socket
from typing import NamedTuple

from wire import read_message
from world import HOST

# How much a consumer reads at once, and the pause before it: some 400 KB a second.
READ_BYTES, READ_PAUSE_S = 8192, 0.02
RECEIVE_BUFFER_BYTES = 8192


def request(attempt, path, body=b""):
    """Return the bytes of a request, which is a POST if it has a body."""
    lines = [f"{'POST' if body else 'GET'} {path} HTTP/1.1", f"Host: {HOST}"]
    lines += [f"X-Attempt-Id: {attempt}", "X-Deadline-Ms: 8000"]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def answer_of(attempt, size):
    """Return the body of a server's answer."""
    block = hashlib.sha256(attempt.encode()).digest()
    return (block * (size // len(block) + 1))[:size]


class Answer(NamedTuple):
    status: int
    is_whole: bool
    connection: str


class SlowConsumer:
    """One connection; the methods that read ask for bytes as `asyncio.StreamReader` does."""

    def __init__(self, host, port):
        self._address = (host, port)
        self._socket = socket.socket()
        self._held = b""

    async def __aenter__(self):
        buffer = (socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._socket.setsockopt(*buffer)
        self._socket.setblocking(False)
        await asyncio.get_running_loop().sock_connect(self._socket, self._address)
        return self

    async def __aexit__(self, *_):
        self._socket.close()

    async def send(self, data):
        try:
            await asyncio.get_running_loop().sock_sendall(self._socket, data)
        except ConnectionError:
            pass  # What has been answered is still read.

    async def read_answers(self, attempts, sizes):
        """Return the whole answers in the order of the requests, and how the reading ended.

        `sizes` has the length of each answer's body by attempt.
        """
        answers = []
        try:
            for attempt in attempts:
                message = await asyncio.wait_for(read_message(self), 10.0)
                if message is None:
                    return answers, "the connection ends"
                status, fields, body = int(message[0].split(" ")[1]), message[1], message[2]
                is_whole = status == 200 and body == answer_of(attempt, sizes[attempt])
                answers.append(Answer(status, is_whole, fields.get("connection", "")))
                if fields.get("connection") == "close":
                    return answers, "the answer closes the connection"
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
            return answers, f"{type(error).__name__} with {len(self._held)} bytes of an answer"
        return answers, "all is answered"

    async def readuntil(self, mark):
        while mark not in self._held:
            await self._receive()
        return self._take(self._held.index(mark) + len(mark))

    async def readline(self):
        return await self.readuntil(b"\n")

    async def readexactly(self, count):
        while len(self._held) < count:
            await self._receive()
        return self._take(count)

    async def _receive(self):
        await asyncio.sleep(READ_PAUSE_S)
        data = await asyncio.get_running_loop().sock_recv(self._socket, READ_BYTES)
        if not data:
            raise asyncio.IncompleteReadError(b"", None)
        self._held += data

    def _take(self, count):
        taken, self._held = self._held[:count], self._held[count:]
        return taken
