"""Fixtures shared by the tests of all packages."""

from collections.abc import Callable
from datetime import timedelta

import pytest
from hypothesis import settings
from twisted.internet import reactor, task

from .clocks import ReactorClock, boot_seconds
from .standins.caller import Caller
from .standins.processes import ProcessGroup
from .storage.memory import MemoryInstanceList, MemoryObjectStore, MemoryTable

settings.register_profile("repeatable", derandomize=True, deadline=None, database=None)
settings.load_profile("repeatable")


class FakeClock(ReactorClock):
    """Clock that advances only when `advance` is called."""

    def __init__(self) -> None:
        self.reactor = task.Clock()
        super().__init__(self.reactor)

    def advance(self, duration: timedelta) -> None:
        """Advance the time by `duration` and run the calls that become due."""
        self.reactor.advance(duration.total_seconds())

    def pause(self, duration: timedelta, read_input: Callable[[], object]) -> None:
        """Advance the time as if the process had stood still meanwhile.

        As on a reactor, the calls that have become due run before `read_input`, which delivers what
        has arrived, and the calls that these have scheduled run after it.
        """
        self.reactor.rightNow += duration.total_seconds()
        for call in list(self.reactor.calls):
            if call.active() and call.getTime() <= self.reactor.seconds():
                self.reactor.calls.remove(call)
                call.called = 1
                call.func(*call.args, **call.kw)
        read_input()
        self.reactor.advance(0)


@pytest.fixture
def clock() -> FakeClock:
    """Return a clock that advances only when the test advances it."""
    return FakeClock()


@pytest.fixture
def table() -> MemoryTable:
    """Return an empty table in memory."""
    return MemoryTable()


@pytest.fixture
def object_store() -> MemoryObjectStore:
    """Return an empty object store in memory."""
    return MemoryObjectStore()


@pytest.fixture
def instance_list() -> MemoryInstanceList:
    """Return an empty list of instances in memory."""
    return MemoryInstanceList()


@pytest.fixture
def real_clock() -> ReactorClock:
    """Return a clock that reads the time of the machine."""
    return ReactorClock(reactor, boot_seconds)


@pytest.fixture
def processes(real_clock, tmp_path):
    """Yield a group of child processes that are terminated by their ids after the test."""
    with ProcessGroup(real_clock, tmp_path) as group:
        yield group


@pytest.fixture
def caller(real_clock) -> Caller:
    """Return a caller that sends requests over real connections."""
    return Caller(reactor, real_clock)
