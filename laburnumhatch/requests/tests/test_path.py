"""Tests of the path of a request over real connections."""

from datetime import timedelta

import pytest_twisted
import treq
from twisted.internet import reactor
from twisted.web.resource import Resource
from twisted.web.server import Site

from ...clocks import ReactorClock
from ...routing import RequestKind, Service, Snapshot, Target, build_matcher
from ..path import RequestPath


class _Upstream(Resource):
    isLeaf = True  # noqa: N815

    def render_GET(self, request):
        return b"film " + request.path


class _Chooser:
    def choose(self, service, excluded):
        return next((t for t in service.targets if t.name not in excluded), None)

    def request_started(self, service, target):
        pass

    def request_ended(self, service, target, latency, answered):
        pass


@pytest_twisted.ensureDeferred
async def test_keyless_request_reaches_a_target():
    upstream = reactor.listenTCP(0, Site(_Upstream()), interface="127.0.0.1")
    target = Target("media-1", "127.0.0.1", upstream.getHost().port, "lade")
    kind = RequestKind("film", "GET", "/films/{film}", True, timedelta(seconds=5), 1, 1, 8, 0)
    service = Service("media", (kind,), (target,), 2, 100, None, None)
    matcher = build_matcher(Snapshot(1, "", (service,)))
    path = RequestPath(
        reactor, ReactorClock(reactor), "entry-1", lambda: matcher, None, None, _Chooser()
    )
    entry = reactor.listenTCP(0, path.factory(), interface="127.0.0.1")
    url = f"http://127.0.0.1:{entry.getHost().port}"
    answer = await treq.get(url + "/films/7", persistent=False)
    refused = await treq.get(url + "/other", persistent=False)
    status, body = answer.code, await answer.content()
    problem = await refused.json()
    await entry.stopListening()
    await upstream.stopListening()
    assert (status, body) == (200, b"film /films/7")
    assert (refused.code, problem["code"], problem["run"]) == (404, 101, "no")
