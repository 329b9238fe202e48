"""Scenarios of the simulation runs."""

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["SCENARIOS", "Event", "EventKind", "Scenario"]


class EventKind(StrEnum):
    """Type of an event in a scenario."""

    HOT_KEYS_CHANGE = "hot-keys-change"
    SERVER_LEAVES = "server-leaves"
    SERVER_STOPS = "server-stops"
    SERVER_STARTS = "server-starts"
    SERVER_FREEZES = "server-freezes"
    SERVER_THAWS = "server-thaws"
    SERVER_SLOWS = "server-slows"
    ENTRY_REPLACED = "entry-replaced"
    TABLE_DOWN = "table-down"
    TABLE_UP = "table-up"


@dataclass(frozen=True, slots=True)
class Event:
    """An event at one time of a scenario.

    Attributes
    ----------
    at : float
        Seconds since the start of the run.
    kind : EventKind
    index : int
        Index of the server or entry instance concerned.
    """

    at: float
    kind: EventKind
    index: int = 0


@dataclass(frozen=True, slots=True)
class Scenario:
    """Load and events of a simulation run.

    Attributes
    ----------
    name : str
    seconds : int
        Duration of the run.
    events : tuple of Event
        Ordered by time.
    utilization : float
        Offered work divided by the servers' capacity.
    keyed, keyless : bool
        Whether the scenario applies to services divided by key, and to other services.
    """

    name: str
    seconds: int
    events: tuple[Event, ...] = ()
    utilization: float = 0.55
    keyed: bool = True
    keyless: bool = True


def _rolling_restart(count: int) -> tuple[Event, ...]:
    events = []
    for i in range(count):
        start = 20.0 + 10.0 * i
        events.append(Event(start, EventKind.SERVER_LEAVES, i))
        events.append(Event(start + 4.0, EventKind.SERVER_STOPS, i))
        events.append(Event(start + 7.0, EventKind.SERVER_STARTS, i))
    return tuple(events)


def _rolling_replacement(count: int) -> tuple[Event, ...]:
    return tuple(Event(20.0 + 10.0 * i, EventKind.ENTRY_REPLACED, i) for i in range(count))


def _hot_key_changes(seconds: int, interval: int) -> tuple[Event, ...]:
    return tuple(
        Event(float(at), EventKind.HOT_KEYS_CHANGE) for at in range(interval, seconds, interval)
    )


_ALL = (
    Scenario("steady", 120),
    Scenario("hot-keys", 180, _hot_key_changes(180, 45), keyless=False),
    Scenario("server-loss", 90, (Event(40.0, EventKind.SERVER_STOPS, 2),)),
    Scenario(
        "server-freeze",
        120,
        (
            Event(40.0, EventKind.SERVER_FREEZES, 2),
            Event(60.0, EventKind.SERVER_THAWS, 2),
        ),
    ),
    Scenario("entry-replacement", 120, _rolling_replacement(8)),
    Scenario("server-restart", 180, _rolling_restart(15)),
    Scenario(
        "table-outage",
        180,
        (
            Event(30.0, EventKind.TABLE_DOWN),
            Event(60.0, EventKind.HOT_KEYS_CHANGE),
            Event(90.0, EventKind.SERVER_STOPS, 2),
            Event(150.0, EventKind.TABLE_UP),
        ),
        keyless=False,
    ),
    Scenario("overload", 60, utilization=2.0),
    Scenario("slow-target", 120, (Event(40.0, EventKind.SERVER_SLOWS, 2),)),
)

SCENARIOS = {scenario.name: scenario for scenario in _ALL}
