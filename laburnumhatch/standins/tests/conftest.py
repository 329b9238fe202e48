"""Fixtures that run the stand-ins in memory, without sockets."""

from datetime import timedelta

import pytest
from treq.testing import StubTreq
from twisted.internet.defer import Deferred

from ..keys import key_from_second_segment
from ..platform import PlatformStandin, build_platform_app
from ..upstream import UpstreamStandin
from ..upstream_app import build_upstream_app
from ..upstream_options import UpstreamOptions

WORK = timedelta(milliseconds=100)


class Stub:
    """In-memory client of an app; connections close when the stub is flushed."""

    def __init__(self, app):
        self._treq = StubTreq(app.resource())

    def send_async(self, method, path, **arguments):
        """Send a request and return a deferred with its status, headers and body."""
        return Deferred.fromCoroutine(self._request(method, path, arguments))

    def request(self, method, path, **arguments):
        """Return the status, headers and body of a response that arrives immediately."""
        answers = []
        self.send_async(method, path, **arguments).addBoth(answers.append)
        self._treq.flush()
        (answer,) = answers
        return answer

    def flush(self):
        """Deliver the pending bytes of both sides."""
        self._treq.flush()

    async def _request(self, method, path, arguments):
        response = await self._treq.request(method, f"http://standin{path}", **arguments)
        return response.code, response.headers, await response.content()


@pytest.fixture
def platform(clock):
    """Return the state of a platform stand-in."""
    return PlatformStandin(clock)


@pytest.fixture
def platform_stub(platform):
    """Return an in-memory client of the platform stand-in."""
    return Stub(build_platform_app(platform))


@pytest.fixture
def upstream(clock):
    """Return an upstream stand-in with one slot and a queue of one."""
    options = UpstreamOptions("lofts", "loft-1", 1, 2, False, 1, timedelta(0), WORK, True)
    return UpstreamStandin(options, clock, key_from_second_segment)


@pytest.fixture
def upstream_stub(upstream):
    """Return an in-memory client of the upstream stand-in."""
    return Stub(build_upstream_app(upstream))
