"""Fixtures shared by the tests of all packages."""

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
    """Clock that stands still until it is advanced."""

    def __init__(self) -> None:
        self.reactor = task.Clock()
        super().__init__(self.reactor)

    def advance(self, duration: timedelta) -> None:
        """Let `duration` pass and run the calls that fall due."""
        self.reactor.advance(duration.total_seconds())


@pytest.fixture
def clock() -> FakeClock:
    """A clock that stands still."""
    return FakeClock()


@pytest.fixture
def table() -> MemoryTable:
    """An empty table."""
    return MemoryTable()


@pytest.fixture
def object_store() -> MemoryObjectStore:
    """An empty object store."""
    return MemoryObjectStore()


@pytest.fixture
def instance_list() -> MemoryInstanceList:
    """An empty list of instances."""
    return MemoryInstanceList()


@pytest.fixture
def real_clock() -> ReactorClock:
    """The clock of the machine."""
    return ReactorClock(reactor, boot_seconds)


@pytest.fixture
def processes(real_clock, tmp_path):
    """Child processes, ended by their ids after the test."""
    with ProcessGroup(real_clock, tmp_path) as group:
        yield group


@pytest.fixture
def caller(real_clock) -> Caller:
    """A caller over real connections."""
    return Caller(reactor, real_clock)
