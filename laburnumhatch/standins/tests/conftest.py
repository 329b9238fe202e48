"""Stand-ins in memory."""

from datetime import timedelta

import pytest
from treq.testing import StubTreq
from twisted.internet.defer import Deferred

from ..keys import second_segment
from ..platform import PlatformStandin, build_platform_app
from ..upstream import UpstreamStandin
from ..upstream_app import build_upstream_app
from ..upstream_options import UpstreamOptions

WORK = timedelta(milliseconds=100)


class Stub:
    """A stand-in's app, asked in memory; connections end when the stub is flushed."""

    def __init__(self, app):
        self._treq = StubTreq(app.resource())

    def start(self, method, path, **arguments):
        """Send a request and return the deferred of its status, headers and body."""
        return Deferred.fromCoroutine(self._ask(method, path, arguments))

    def ask(self, method, path, **arguments):
        """Return status, headers and body of an answer that comes at once."""
        answers = []
        self.start(method, path, **arguments).addBoth(answers.append)
        self._treq.flush()
        (answer,) = answers
        return answer

    def flush(self):
        """Let bytes that wait on either side arrive."""
        self._treq.flush()

    async def _ask(self, method, path, arguments):
        response = await self._treq.request(method, f"http://standin{path}", **arguments)
        return response.code, response.headers, await response.content()


@pytest.fixture
def platform(clock):
    """State of a platform stand-in."""
    return PlatformStandin(clock)


@pytest.fixture
def platform_stub(platform):
    """The platform stand-in's app."""
    return Stub(build_platform_app(platform))


@pytest.fixture
def upstream(clock):
    """An upstream stand-in with one slot and a queue of one."""
    options = UpstreamOptions("lofts", "loft-1", 1, 2, False, 1, timedelta(0), WORK, True)
    return UpstreamStandin(options, clock, second_segment)


@pytest.fixture
def upstream_stub(upstream):
    """The upstream stand-in's app."""
    return Stub(build_upstream_app(upstream))
