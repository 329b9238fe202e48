"""Tests of the choice of an idle connection."""

import pytest

from ..outbound import OutboundRequest
from ..pool import ConnectionPool


class IdleConnection:
    """Idle connection that records the requests sent on it."""

    keep_alive_timeout_s = None

    def __init__(self):
        self.requests = []

    def is_reusable(self):
        return True

    def send(self, request, receiver):
        self.requests.append(request)


@pytest.fixture
def pool(clock):
    return ConnectionPool(None, clock)


def make_request():
    return OutboundRequest(b"GET", b"/", [], b"", lambda status, fields: True)


def test_most_recently_used_connection_is_reused(pool):
    first, second = IdleConnection(), IdleConnection()
    pool.release(("h", 1), first)
    pool.release(("h", 1), second)
    assert pool.send("h", 1, make_request, None).connection is second


def test_excluded_connection_is_left_to_other_requests(pool):
    first, second = IdleConnection(), IdleConnection()
    pool.release(("h", 1), first)
    pool.release(("h", 1), second)
    assert pool.send("h", 1, make_request, None, excluded={second}).connection is first
    assert pool.send("h", 1, make_request, None).connection is second
