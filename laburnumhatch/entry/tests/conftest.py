"""Real processes for the tests of the whole path."""

import pytest
from twisted.internet import reactor

from ...clocks import ReactorClock, boot_seconds
from ...standins.caller import Caller
from ...standins.processes import ProcessGroup


@pytest.fixture
def real_clock():
    """The clock of the machine."""
    return ReactorClock(reactor, boot_seconds)


@pytest.fixture
def processes(real_clock, tmp_path):
    """Child processes, ended by their ids after the test."""
    with ProcessGroup(real_clock, tmp_path) as group:
        yield group


@pytest.fixture
def caller(real_clock):
    """A caller over real connections."""
    return Caller(reactor, real_clock)
