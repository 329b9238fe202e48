"""Fixtures of membership's tests: instances connected by streams in memory."""

import pytest

from ...links.tests.conftest import Network
from ...storage import InstanceState, ListedInstance
from ..directory import InstanceDirectory
from ..interfaces import Instance
from ..messages import MEMBERSHIP_MESSAGES


def make_instance(name, data_centre="lade"):
    """Return an instance with fixed addresses."""
    return Instance(name, "127.0.0.1", 1, 2, data_centre)


def make_listed(name, state=InstanceState.LIVE, data_centre="lade"):
    """Return an entry of the platform's list."""
    return ListedInstance(name, "127.0.0.1", 1, 2, data_centre, state)


class Fleet:
    """Instances with their directories and the platform's list."""

    def __init__(self, clock, instance_list):
        self.network = Network(clock, MEMBERSHIP_MESSAGES)
        self.instance_list = instance_list
        self.directories = {}

    def add(self, *names, **options):
        """Add and start instances."""
        for name in names:
            directory = InstanceDirectory(
                clock=self.network.clock,
                instance_list=self.instance_list,
                own_instance=make_instance(name),
                links=self.network.add(name),
                jitter=lambda: 0.0,
                **options,
            )
            self.directories[name] = directory
            directory.start()

    def list(self, *names, leaving=()):
        """Set the platform's list to live instances `names` and those that are `leaving`."""
        states = {name: InstanceState.LIVE for name in names}
        states |= dict.fromkeys(leaving, InstanceState.LEAVING)
        self.instance_list.instances = tuple(make_listed(n, s) for n, s in states.items())

    def kill(self, name):
        """Stop an instance without notice to the others."""
        self.network.isolate(name)
        self.directories.pop(name).stop()

    def views(self):
        """Return, for each instance, the concatenated names of those it considers live."""
        return {n: "".join(i.name for i in d.live()) for n, d in self.directories.items()}


@pytest.fixture
def fleet(clock, instance_list):
    """A fleet without instances."""
    return Fleet(clock, instance_list)
