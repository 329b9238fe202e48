"""Fixtures for the tests of the configuration."""

import json

import pytest
from twisted.internet.defer import ensureDeferred

from ...links.tests.conftest import Network
from ...membership import Instance
from ...routing import RoutingFile
from ..follower import ConfigurationFollower
from ..messages import CONFIGURATION_MESSAGES
from ..publish import publish


def make_routing_document(service, port=9001, path=None):
    """Return the routing document of a service with one target and one kind of request."""
    return {
        "service": service,
        "targets": {
            "slots": 2,
            "servers": [{"name": "t-1", "host": "127.0.0.1", "port": port, "data_centre": "lade"}],
        },
        "kinds": {"view": {"method": "GET", "path": path or f"/{service}", "deadline_ms": 500}},
    }


def run_to_completion(clock, coroutine):
    """Run a coroutine, advancing the clock by up to 30 s, and return its result."""
    outcome = []
    ensureDeferred(coroutine).addCallback(outcome.append)
    for _ in range(300):
        if outcome:
            break
        clock.reactor.advance(0.1)
    return outcome[0]


@pytest.fixture
def make_file():
    """Return a function that builds the routing file of a service."""
    return lambda service, **changes: RoutingFile.model_validate(
        make_routing_document(service, **changes)
    )


@pytest.fixture
def write_file(tmp_path):
    """Return a function that writes a routing document into a service's folder."""

    def write(folder, document):
        directory = tmp_path / folder
        directory.mkdir(exist_ok=True)
        path = directory / f"{folder}.routing.json"
        path.write_text(document if isinstance(document, str) else json.dumps(document))
        return path

    return write


@pytest.fixture
def publish_file(clock, table, object_store, make_file):
    """Return a function that publishes the routing file of one service."""

    def publish_service(service, publisher="ana", **options):
        return run_to_completion(
            clock,
            publish(
                [make_file(service)],
                clock=clock,
                table=table,
                object_store=object_store,
                publisher=publisher,
                **options,
            ),
        )

    return publish_service


class Fleet:
    """Instances that follow the configuration over a simulated network.

    The fleet is also the instance view of its followers.
    """

    def __init__(self, clock, table, object_store):
        self.network = Network(clock, CONFIGURATION_MESSAGES)
        self.platform = {"table": table, "object_store": object_store}
        self.followers = {}
        self.versions = {}

    def add(self, name, **platform):
        """Add an instance and start its follower.

        `platform` replaces the table or the object store that the follower uses.
        """
        links = self.network.add(name)
        own_instance = Instance(name, "127.0.0.1", 1, 2, "lade")
        self.versions[name] = []
        follower = ConfigurationFollower(
            clock=self.network.clock,
            links=links,
            instances=self,
            own_instance=own_instance,
            on_change=lambda snapshot: self.versions[name].append(snapshot.version),
            jitter=lambda: 0.0,
            **self.platform | platform,
        )
        self.followers[name] = follower
        follower.start()
        return follower

    def live(self):
        """Return all instances."""
        return tuple(Instance(name, "127.0.0.1", 1, 2, "lade") for name in sorted(self.followers))


@pytest.fixture
def fleet(clock, table, object_store):
    """Return a fleet without instances."""
    return Fleet(clock, table, object_store)
