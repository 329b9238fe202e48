"""Fixtures of the request path: scripted servers, raw callers and fakes of other packages."""

import json
from dataclasses import dataclass, field
from datetime import timedelta

import pytest_twisted
from twisted.internet import reactor
from twisted.internet.defer import Deferred, maybeDeferred
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.protocol import Factory, Protocol

from ...ownership import NoOwner, Owner
from ...results import ResultCode
from ...routing import (
    KeyLocation,
    KeySource,
    Objective,
    Ownership,
    RequestKind,
    Service,
    Snapshot,
    Target,
    build_matcher,
)
from ..path import RequestPath

MAX_TURNS = 50_000
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


async def until(condition):
    """Run the reactor until a condition holds; fail after `MAX_TURNS` iterations."""
    for _ in range(MAX_TURNS):
        if condition():
            return
        turn = Deferred()
        reactor.callLater(0, turn.callback, None)
        await turn
    raise AssertionError("the condition did not hold within MAX_TURNS reactor iterations")


def kind(name="view", method="GET", path="/lofts/{loft}", **changes):
    """Return a kind of request; `changes` override its defaults."""
    values = {
        "is_repeatable": method == "GET",
        "deadline": timedelta(seconds=5),
        "weight": 1.0,
        "retry_limit": 1,
        "queue_limit": 8,
        "body_limit_bytes": 10_000_000,
    }
    return RequestKind(name, method, path, **{**values, **changes})


@dataclass(eq=False)
class Message:
    """Header and body of an HTTP request or answer."""

    head: bytes
    body: bytes = b""

    def header(self, name):
        for line in self.head.split(b"\r\n")[1:]:
            if line.lower().startswith(name.lower() + b":"):
                return line.split(b":", 1)[1].strip()
        return None


class Answer(Message):
    """Answer as received by the caller."""

    @property
    def status(self):
        return int(self.head.split(b" ")[1])

    @property
    def refusal(self):
        """Result code and run status of a problem document."""
        problem = json.loads(self.body)
        return problem["code"], problem["run"]


class Sent(Message):
    """Request as received by a scripted server; `answer` writes raw bytes."""

    def __init__(self, head, connection):
        super().__init__(head)
        self.connection = connection

    def answer(self, data=OK, close=False):
        self.connection.transport.write(data)
        if close:
            self.connection.transport.loseConnection()

    def reset(self, data=b""):
        if data:
            self.connection.transport.write(data)
            self.connection.transport.doWrite()
        self.connection.transport.abortConnection()


class ServerConnection(Protocol):
    """Connection of a scripted server that records requests and answers only on request."""

    def __init__(self, server):
        self.server = server
        self.buffer = bytearray()
        self.lost = False

    def connectionMade(self):
        self.server.connections.append(self)
        if self.server.paused:
            self.transport.pauseProducing()

    def dataReceived(self, data):
        self.buffer += data
        while (end := self.buffer.find(b"\r\n\r\n")) >= 0:
            head = bytes(self.buffer[:end])
            sent = Sent(head, self)
            size = end + 4 + int(sent.header(b"content-length") or 0)
            if len(self.buffer) < size:
                return
            sent.body = bytes(self.buffer[end + 4 : size])
            del self.buffer[:size]
            if head.startswith(b"DELETE /requests/"):
                self.server.cancellations.append(sent)
                continue
            self.server.requests.append(sent)
            if self.server.script:
                self.server.script.pop(0)(sent)

    def connectionLost(self, reason):
        self.lost = True


class Server:
    """Scripted upstream; the script holds one function for each expected request."""

    def __init__(self, name):
        self.name = name
        self.requests = []
        self.cancellations = []
        self.connections = []
        self.script = []
        self.paused = False
        factory = Factory.forProtocol(lambda: ServerConnection(self))
        factory.noisy = False
        self.port = reactor.listenTCP(0, factory, interface="127.0.0.1")

    @property
    def target(self):
        return Target(self.name, "127.0.0.1", self.port.getHost().port, "lade")

    async def stop(self):
        if self.port is not None:
            port, self.port = self.port, None
            await maybeDeferred(port.stopListening)


class Caller(Protocol):
    """Raw connection to an entry instance."""

    def __init__(self):
        self.received = bytearray()
        self.lost = None

    def dataReceived(self, data):
        self.received += data

    def connectionLost(self, reason):
        self.lost = reason

    def send(self, method="GET", path="/lofts/rosa", body=b"", **headers):
        fields = {"Host": "loft.example", **{k.replace("_", "-"): v for k, v in headers.items()}}
        if body:
            fields["Content-Length"] = len(body)
        lines = "".join(f"{k}: {v}\r\n" for k, v in fields.items())
        self.transport.write(f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode() + body)

    async def answer(self):
        """Return the next answer that has a length, and remove it from the received data."""
        await until(lambda: b"\r\n\r\n" in self.received or self.lost)
        end = self.received.find(b"\r\n\r\n")
        answer = Answer(bytes(self.received[:end]))
        size = end + 4 + int(answer.header(b"content-length") or 0)
        await until(lambda: len(self.received) >= size or self.lost)
        answer.body = bytes(self.received[end + 4 : size])
        del self.received[:size]
        return answer


@dataclass
class FakeOwnership:
    """Fake ownership with one owner for all keys."""

    owner: Owner | None = None
    current: bool = True
    started: list = field(default_factory=list)
    ended: list = field(default_factory=list)
    lookups: int = 0

    def owner_of(self, service, key):
        self.lookups += 1
        return self.owner or NoOwner(ResultCode.KEY_MOVING, "moving", timedelta(seconds=2))

    def is_current(self, owner):
        return self.current and owner == self.owner

    def request_started(self, owner):
        self.started.append(owner)

    def request_ended(self, owner):
        self.ended.append(owner)


@dataclass
class FakeTargets:
    """Fake membership that records the reports about targets."""

    reports: list = field(default_factory=list)
    leaving: set = field(default_factory=set)

    def takes_new_work(self, service, target):
        return target not in self.leaving

    def record_answer(self, service, target):
        self.reports.append(("answer", target))

    def record_draining(self, service, target):
        self.reports.append(("draining", target))

    def record_connection_refused(self, service, target):
        self.reports.append(("refused", target))

    def record_timeout(self, service, target):
        self.reports.append(("silence", target))


class FirstTarget:
    """Fake chooser that returns the first target that isn't excluded."""

    def choose(self, service, excluded):
        return next((t for t in service.targets if t.name not in excluded), None)

    def request_started(self, service, target):
        pass

    def request_ended(self, service, target, latency, answered):
        pass


class Bench:
    """Entry instances in front of scripted servers, with a clock that only tests advance."""

    def __init__(self, clock, table):
        self.clock = clock
        self.table = table
        self.ownership = FakeOwnership()
        self.targets = FakeTargets()
        self.records = []
        self.servers = []
        self.paths = []
        self._ports = []
        self.matcher = None

    def server(self, name):
        server = Server(name)
        self.servers.append(server)
        return server

    def route(self, *kinds, owned=False, fencing=False, slots=2, connections=100):
        """Configure a service with all servers; if `owned`, the first server owns all keys."""
        ownership = Ownership(16, 1, fencing, Objective.UNAVAILABLE_TIME) if owned else None
        targets = tuple(server.target for server in self.servers)
        key = KeySource(KeyLocation.PATH, "loft")
        service = Service("lofts", kinds, targets, slots, connections, key, ownership)
        self.matcher = build_matcher(Snapshot(1, "", (service,)))
        if owned:
            self.ownership.owner = Owner("lofts", 3, targets[0].name, 7, timedelta(seconds=60))

    def entry(self):
        """Start an entry instance and return its request path."""
        path = RequestPath(
            reactor,
            self.clock,
            f"entry-{len(self.paths) + 1}",
            lambda: self.matcher,
            self.ownership,
            self.targets,
            FirstTarget(),
            self.table,
            history=self.records.append,
        )
        self.paths.append(path)
        self._ports.append(reactor.listenTCP(0, path.factory(), interface="127.0.0.1"))
        return path

    async def caller(self, entry=0):
        if not self.paths:
            self.entry()
        endpoint = TCP4ClientEndpoint(reactor, "127.0.0.1", self._ports[entry].getHost().port)
        return await connectProtocol(endpoint, Caller())

    async def close(self):
        for port in self._ports:
            await maybeDeferred(port.stopListening)
        for path in self.paths:
            path.stop_accepting()
            await path.factory().close_connections()
            path._context.close()
        for server in self.servers:
            await server.stop()
            for connection in server.connections:
                connection.transport.abortConnection()
            await until(lambda server=server: all(c.lost for c in server.connections))


@pytest_twisted.async_yield_fixture
async def bench(clock, table):
    """Return a test bench of request paths between real sockets."""
    bench = Bench(clock, table)
    yield bench
    await bench.close()
