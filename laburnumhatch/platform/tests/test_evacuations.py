"""Rows of evacuated data centres are read with the configuration; odd ones change nothing else."""

import base64
import json
from types import SimpleNamespace

import logbook
import pytest

from ...clocks import milliseconds
from ...coordination.store import StoredRow
from ...transport import Response
from ..configuration import CONFIGURATION_KEY, CONFIGURATION_TABLE
from ..evacuations import EVACUATION_PREFIX, MAX_DATA_CENTRES, decode_evacuations
from ..sources import platform_sources
from ..standin import StandinRoute, encode_configuration
from .test_store import World

DOCUMENT = encode_configuration(3, [StandinRoute("r", "h", "/", "s")], ["s"], [])


@pytest.fixture
def world(clock):
    """Return a stand-in that holds a configuration, and its client."""
    world = World(clock)
    world.standin.put(CONFIGURATION_TABLE, CONFIGURATION_KEY, DOCUMENT)
    world.sources = platform_sources(world.store)
    return world


@pytest.fixture
def records():
    with logbook.TestHandler().applicationbound() as handler:
        yield handler.records


def evacuate(world, name, value=b""):
    world.standin.put(CONFIGURATION_TABLE, EVACUATION_PREFIX + name, value)


def test_one_call_reads_the_configuration_and_the_evacuations(world):
    evacuate(world, "lade")
    evacuate(world, "ranheim/2", b"\xff")
    found = world.run(world.sources.read_configuration(0))
    assert found.evacuated == {"lade", "ranheim/2"}
    assert found.configuration.routes.version == 3
    assert sum(world.store.call_counts.values()) == 1
    world.standin.remove(CONFIGURATION_TABLE, EVACUATION_PREFIX + "lade")
    found = world.run(world.sources.read_configuration(found.row_version))
    assert found.evacuated == {"ranheim/2"}
    assert found.configuration is None


@pytest.mark.parametrize("name", ["", "x" * 201, "x" * 100_000, "a\nb", "\x00", "\ud800"])
def test_odd_name_is_ignored_with_one_line(name, records):
    rows = [StoredRow(EVACUATION_PREFIX + n, b"", 1) for n in (name, "lade")]
    known_errors = {}
    for _ in range(2):
        assert decode_evacuations(rows, known_errors) == {"lade"}
    assert len(records) == 1


def test_number_of_data_centres_is_bounded():
    rows = [StoredRow(f"{EVACUATION_PREFIX}{n}", b"", 1) for n in range(500)]
    assert len(decode_evacuations(rows, {})) == MAX_DATA_CENTRES


def raw_row(key, value=b""):
    return json.dumps({"key": key, "ver": 5, "value": base64.b64encode(value).decode()}).encode()


@pytest.mark.parametrize(
    "odd_row",
    [
        b'{"key": "evacuate/\xff", "ver": 5}',
        b'{"key": 7, "ver": 5}',
        b'{"key": "evacuate/x", "ver": -1}',
        b'{"ver": 5}',
        b"[]",
        b"null",
    ],
)
def test_undecodable_row_hides_neither_the_configuration_nor_other_rows(clock, odd_row, records):
    rows = b",".join([odd_row, raw_row("config", DOCUMENT), raw_row("evacuate/lade")])
    world = World(clock)

    async def call(*_):
        return Response(200, [], b'{"rows": [%s], "now": "1s"}' % rows)

    world.store._caller = SimpleNamespace(call=call)
    sources = platform_sources(world.store)
    for _ in range(2):
        found = world.run(sources.read_configuration(0))
        assert found.configuration.routes.version == 3
        assert found.evacuated == {"lade"}
        clock.advance(milliseconds(500))
    assert len(records) == 1
