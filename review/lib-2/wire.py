"""A small HTTP/1.1 server and client on asyncio, enough for the stand-ins of this folder."""

import asyncio
import re
import socket
import struct

_DURATION = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s)")


def seconds(text):
    """Return a duration of the platform's messages in seconds."""
    match = _DURATION.fullmatch(text)
    amount = float(match[1])
    return amount / 1000 if match[2] == "ms" else amount


class Request:
    """A request that has arrived whole."""

    def __init__(self, method, target, fields, body):
        self.method, self.target, self.fields, self.body = method, target, fields, body

    @property
    def path(self):
        return self.target.partition("?")[0]


async def read_message(reader):
    """Return the first line, the header fields and the body of a message, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            fields[name.lower()] = value.strip()
    body = b""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if not size:
                break
    else:
        body = await reader.readexactly(int(fields.get("content-length", "0")))
    return lines[0], fields, body


def response(status, fields=(), body=b""):
    """Return the bytes of a response."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in fields]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Connection:
    """An accepted connection. Once it is silent, nothing passes on it in either direction."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer
        self.is_silent = False

    def send(self, data):
        if not self.is_silent and not self.writer.is_closing():
            self.writer.write(data)

    def reset(self):
        """Close at once, with a reset and not with an orderly end."""
        linger = struct.pack("ii", 1, 0)
        self.writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.writer.transport.abort()


class Server:
    """HTTP server that calls ``await handle(request, connection)`` for each request.

    The handler returns the bytes of the response, or None for no response.
    """

    def __init__(self, host, port, handle):
        self._host, self._port, self._handle = host, port, handle
        self._server = None
        self.connections = set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, self._host, self._port, backlog=256)

    def stop(self):
        """Stop at once, as a killed process does."""
        self._server.close()
        for connection in list(self.connections):
            connection.reset()

    async def _serve(self, reader, writer):
        connection = Connection(reader, writer)
        self.connections.add(connection)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                if connection.is_silent:
                    continue
                method, target, _ = message[0].split(" ")
                answer = await self._handle(Request(method, target, *message[1:]), connection)
                if answer is not None:
                    connection.send(answer)
                    await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.connections.discard(connection)
            writer.close()


async def call(host, port, method, target, fields, body=b"", timeout=3.0):
    """Send one request on a new connection; return (status, fields, body), or None."""

    async def exchange():
        reader, writer = await asyncio.open_connection(host, port)
        try:
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in fields]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
            message = await read_message(reader)
            return message and (int(message[0].split(" ")[1]), *message[1:])
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
