"""The path of requests through one entry instance."""

import json
from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectError
from twisted.python.failure import Failure
from twisted.web.client import Agent, HTTPConnectionPool, readBody
from twisted.web.http import HTTPChannel, HTTPFactory, Request
from twisted.web.http_headers import Headers

from ..balancing import TargetChooser
from ..clocks import Clock, to_milliseconds
from ..membership import TargetView
from ..ownership import NoOwner, Owner, OwnershipView
from ..platform import Table
from ..results import PROBLEM_CONTENT_TYPE, Refusal, ResultCode, problem_document
from ..routing import Match, Target
from ..routing.match import Matcher

__all__ = ["RequestPath"]

HOP_BY_HOP = frozenset(
    (b"connection", b"keep-alive", b"te", b"trailer", b"transfer-encoding", b"upgrade")
    + (b"proxy-connection", b"proxy-authenticate", b"proxy-authorization", b"host")
    + (b"content-length",)
)


class RequestPath:
    """Forwarding of callers' requests to the upstream servers.

    Parameters
    ----------
    reactor
        A Twisted reactor that connects and keeps time.
    clock : Clock
    instance : str
        Name of this entry instance.
    matcher : callable
        Returns the matcher of the configuration in force, or None without a configuration.
    ownership : OwnershipView
    targets : TargetView
    chooser : TargetChooser
    claims : Table or None
        Table that holds the claims of idempotency keys.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        instance: str,
        matcher: Callable[[], Matcher | None],
        ownership: OwnershipView,
        targets: TargetView,
        chooser: TargetChooser,
        claims: Table | None = None,
        *,
        entry_count: Callable[[], int] = lambda: 1,
    ) -> None:
        self.clock = clock
        self.instance = instance
        self.matcher = matcher
        self.ownership = ownership
        self.targets = targets
        self.chooser = chooser
        self._stopping = False
        self._in_flight = 0
        self._drained: list[Deferred[None]] = []
        pool = HTTPConnectionPool(reactor, persistent=True)
        pool.retryAutomatically = False
        self._agent = Agent(reactor, pool=pool, connectTimeout=1.0)
        self._reactor = reactor

    @property
    def in_flight(self) -> int:
        """Number of requests that have no final answer yet."""
        return self._in_flight

    def factory(self) -> HTTPFactory:
        """Return the protocol factory for the callers' port."""
        factory: Any = HTTPFactory(reactor=self._reactor)

        def build_channel() -> HTTPChannel:
            channel: Any = HTTPChannel()
            channel.requestFactory = lambda *args: _CallerRequest(self, *args)
            return channel

        factory.protocol = build_channel
        return factory

    def stop_accepting(self) -> None:
        """Refuse new requests; those in flight go on."""
        self._stopping = True

    def drained(self) -> Deferred[None]:
        """Return a Deferred that fires once no request is in flight."""
        done: Deferred[None] = Deferred()
        self._drained.append(done)
        self._check_drained()
        return done

    def serve(self, request: Request) -> None:
        """Serve one whole request."""
        self._in_flight += 1
        Deferred.fromCoroutine(self._serve(request)).addBoth(self._served)

    async def _serve(self, request: Request) -> None:
        try:
            refusal = await self._forward(request)
        except Exception as e:
            refusal = Refusal(ResultCode.INTERNAL_ERROR, type(e).__name__)
        if refusal is not None and not request._disconnected:
            _refuse(request, refusal)

    def _served(self, result: object) -> None:
        self._in_flight -= 1
        self._check_drained()

    def _check_drained(self) -> None:
        if self._in_flight == 0:
            waiting, self._drained = self._drained, []
            for done in waiting:
                done.callback(None)

    async def _forward(self, request: Request) -> Refusal | None:
        if self._stopping:
            return Refusal(ResultCode.STOPPING)
        matcher = self.matcher()
        if matcher is None:
            return Refusal(ResultCode.NO_CONFIGURATION)
        headers = {name.decode().lower(): value for name, value in _plain(request)}
        match = matcher(request.method.decode(), request.uri.decode("latin-1"), headers)
        if match is None:
            return Refusal(ResultCode.NO_ROUTE)
        chosen = self._choose(match)
        if isinstance(chosen, Refusal):
            return chosen
        target, owner = chosen
        return await self._send(request, match, target, owner)

    def _choose(self, match: Match) -> tuple[Target, Owner | None] | Refusal:
        service = match.service
        if service.ownership is None:
            found = self.chooser.choose(service, frozenset())
            return Refusal(ResultCode.NO_TARGET) if found is None else (found, None)
        if match.key is None:
            return Refusal(ResultCode.KEY_MISSING)
        owner = self.ownership.owner_of(service.name, match.key)
        if isinstance(owner, NoOwner):
            return Refusal(owner.code, owner.detail, retry_after=owner.retry_after)
        target = service.target(owner.server)
        return Refusal(ResultCode.NO_TARGET) if target is None else (target, owner)

    async def _send(
        self, request: Request, match: Match, target: Target, owner: Owner | None
    ) -> Refusal | None:
        headers = Headers(
            {
                n: v
                for n, v in request.requestHeaders.getAllRawHeaders()
                if n.lower() not in HOP_BY_HOP
            }
        )
        headers.setRawHeaders(b"Deadline-Ms", [b"%d" % to_milliseconds(match.kind.deadline)])
        if owner is not None:
            if not self.ownership.is_current(owner):
                return Refusal(ResultCode.LEASE_EXPIRED)
            headers.setRawHeaders(b"Ownership-Slot", [b"%d" % owner.slot])
            headers.setRawHeaders(b"Fencing-Token", [b"%d" % owner.epoch])
            self.ownership.request_started(owner)
        uri = f"http://{target.host}:{target.port}".encode() + request.uri
        self.chooser.request_started(match.service.name, target.name)
        started = self.clock.now()
        answered = False
        try:
            response: Any = await self._agent.request(request.method, uri, headers)
            body = await readBody(response)
            answered = True
        except ConnectError:
            self.targets.note_connection_refused(match.service.name, target.name)
            return Refusal(ResultCode.UPSTREAM_UNREACHABLE)
        except Exception as e:
            return Refusal(ResultCode.UPSTREAM_BROKEN, type(e).__name__)
        finally:
            latency = self.clock.now() - started
            self.chooser.request_ended(match.service.name, target.name, latency, answered)
            if owner is not None:
                self.ownership.request_ended(owner)
        if request._disconnected:
            return None
        request.setResponseCode(response.code)
        for name, values in response.headers.getAllRawHeaders():
            if name.lower() not in HOP_BY_HOP:
                request.responseHeaders.setRawHeaders(name, values)
        request.setHeader(b"content-length", b"%d" % len(body))
        request.write(body)
        request.finish()
        return None


class _CallerRequest(Request):
    """Request of a caller."""

    def __init__(self, path: RequestPath, *args: Any) -> None:
        super().__init__(*args)
        self._path = path

    def process(self) -> None:
        """Serve the request."""
        self.notifyFinish().addErrback(_ignore)
        self._path.serve(self)


def _ignore(failure: Failure) -> None:
    return None


def _plain(request: Request) -> list[tuple[bytes, str]]:
    pairs = request.requestHeaders.getAllRawHeaders()
    return [(name, values[-1].decode("latin-1")) for name, values in pairs]


def _refuse(request: Request, refusal: Refusal) -> None:
    body = json.dumps(problem_document(refusal)).encode()
    request.setResponseCode(refusal.code.status)
    request.setHeader(b"content-type", PROBLEM_CONTENT_TYPE.encode())
    request.setHeader(b"content-length", b"%d" % len(body))
    if refusal.retry_after is not None:
        request.setHeader(
            b"retry-after", b"%d" % max(1, round(refusal.retry_after.total_seconds()))
        )
    request.write(body)
    request.finish()
