"""Fixtures shared by the tests of all packages."""

from datetime import timedelta

import pytest
from hypothesis import settings
from twisted.internet import task

from .clocks import ReactorClock
from .platform.memory import MemoryInstanceList, MemoryObjectStore, MemoryTable

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
