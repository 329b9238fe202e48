"""Fixtures of the configuration's tests."""

import json

import pytest
from twisted.internet.defer import ensureDeferred

from ...links.tests.conftest import Network
from ...membership import Instance
from ...routing import RoutingFile
from ..follower import ConfigurationFollower
from ..messages import CONFIGURATION_MESSAGES
from ..publish import publish


def make_document(service, port=9001, path=None):
    """Return the plain routing file of a service with one target and one kind."""
    return {
        "service": service,
        "targets": {
            "slots": 2,
            "servers": [{"name": "t-1", "host": "127.0.0.1", "port": port, "data_centre": "lade"}],
        },
        "kinds": {"view": {"method": "GET", "path": path or f"/{service}", "deadline_ms": 500}},
    }


def run(clock, coroutine):
    """Return a coroutine's result, letting the clock run through its pauses."""
    outcome = []
    ensureDeferred(coroutine).addCallback(outcome.append)
    for _ in range(300):
        if outcome:
            break
        clock.reactor.advance(0.1)
    return outcome[0]


@pytest.fixture
def make_file():
    """A function that returns a routing file."""
    return lambda service, **changes: RoutingFile.model_validate(make_document(service, **changes))


@pytest.fixture
def write_file(tmp_path):
    """A function that writes a document beside a service's code."""

    def write(folder, document):
        directory = tmp_path / folder
        directory.mkdir(exist_ok=True)
        path = directory / f"{folder}.routing.json"
        path.write_text(document if isinstance(document, str) else json.dumps(document))
        return path

    return write


@pytest.fixture
def publish_file(clock, table, object_store, make_file):
    """A function that publishes one service."""

    def call(service, publisher="ana", **options):
        return run(
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

    return call


class Fleet:
    """Instances that follow the configuration, with streams between all of them."""

    def __init__(self, clock, table, object_store):
        self.network = Network(clock, CONFIGURATION_MESSAGES)
        self.platform = {"table": table, "object_store": object_store}
        self.followers = {}
        self.versions = {}

    def add(self, name, **platform):
        """Add an instance and start it; `platform` replaces its view of the platform."""
        links = self.network.add(name)
        own = Instance(name, "127.0.0.1", 1, 2, "lade")
        self.versions[name] = []
        follower = ConfigurationFollower(
            clock=self.network.clock,
            links=links,
            instances=self,
            own=own,
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
    """A fleet without instances."""
    return Fleet(clock, table, object_store)
