"""A minimal reverse proxy made only of the library calls that the entry daemon builds on.

It is the baseline for the processor time that the entry daemon uses for a request.
"""

import json
from typing import Any

from twisted.internet import reactor as _reactor
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure
from twisted.web.client import Agent, HTTPConnectionPool
from twisted.web.http import Request
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

__all__ = ["BareProxy", "run_bare_proxy"]

MAX_CONNECTIONS_PER_HOST = 64


class BareProxy(Resource):
    """Resource that forwards requests to one upstream and streams the responses back."""

    isLeaf = True  # noqa: N815

    def __init__(self, agent: Any, upstream: str) -> None:
        super().__init__()
        self._agent = agent
        self._upstream = upstream.encode()

    def render(self, request: Request) -> int:
        """Forward the request to the upstream."""
        response = self._agent.request(
            request.method, self._upstream + request.uri, request.requestHeaders
        )
        response.addCallbacks(
            _relay_response, _send_bad_gateway, callbackArgs=(request,), errbackArgs=(request,)
        )
        return NOT_DONE_YET


class _ResponseRelay(Protocol):
    """Streams a response body to the caller, with back-pressure from the caller."""

    def __init__(self, request: Any) -> None:
        self._request = request

    def connectionMade(self) -> None:
        self._request.registerProducer(self.transport, True)

    def dataReceived(self, data: bytes) -> None:
        self._request.write(data)

    def connectionLost(self, reason: Any = None) -> None:
        self._request.unregisterProducer()
        self._request.finish()


def _relay_response(response: Any, request: Any) -> None:
    request.setResponseCode(response.code)
    for name, values in response.headers.getAllRawHeaders():
        request.responseHeaders.setRawHeaders(name, values)
    if isinstance(response.length, int):
        request.setHeader(b"content-length", b"%d" % response.length)
    response.deliverBody(_ResponseRelay(request))


def _send_bad_gateway(failure: Failure, request: Any) -> None:
    request.setResponseCode(502)
    request.finish()


def run_bare_proxy(upstream: str, host: str) -> None:
    """Serve until the process is terminated.

    The port is printed as JSON, in the same form as the daemons print theirs.
    """
    reactor: Any = _reactor
    pool = HTTPConnectionPool(reactor, persistent=True)
    pool.retryAutomatically = False
    pool.maxPersistentPerHost = MAX_CONNECTIONS_PER_HOST
    site = Site(BareProxy(Agent(reactor, pool=pool), upstream))
    port = reactor.listenTCP(0, site, interface=host)
    print(json.dumps({"listening": {"http": port.getHost().port}}), flush=True)
    reactor.run()
