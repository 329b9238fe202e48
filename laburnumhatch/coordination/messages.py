"""Messages between the leader and the other instances."""

from dataclasses import dataclass
from datetime import timedelta

__all__ = [
    "COORDINATION_MESSAGES",
    "KeyCount",
    "LeaderUpdate",
    "ListedUpstream",
    "LoadReport",
    "MapChanges",
    "MapSpan",
    "RegistryChanges",
    "Totals",
    "UpstreamShare",
]


@dataclass(frozen=True, slots=True)
class UpstreamShare:
    """What one instance saw of an upstream since its last report.

    Attributes
    ----------
    name : str
    in_flight : int
        Requests of the instance there, now.
    answered : int
    declined : int
        Answers that say that the request did not run.
    service_time : timedelta
        Sum over the answers, of the time that one request takes a slot.
    """

    name: str
    in_flight: int
    answered: int
    declined: int
    service_time: timedelta


@dataclass(frozen=True, slots=True)
class KeyCount:
    """Requests for a key since the last report."""

    service: str
    key: int
    requests: int


@dataclass(frozen=True, slots=True)
class LoadReport:
    """From an instance to the leader."""

    upstreams: tuple[UpstreamShare, ...]
    keys: tuple[KeyCount, ...]


@dataclass(frozen=True, slots=True)
class ListedUpstream:
    """An upstream of the registry."""

    name: str
    born: int
    service: str
    host: str
    port: int
    data_centre: str
    slots: int
    is_draining: bool
    slow_for: timedelta


@dataclass(frozen=True, slots=True)
class RegistryChanges:
    """Upstreams that changed since the last message on the stream.

    Attributes
    ----------
    version : int
        Of the leader's list, after the changes.
    is_full : bool
        Whether these are all upstreams.
    changed : tuple of ListedUpstream
    removed : tuple of str
    """

    version: int
    is_full: bool
    changed: tuple[ListedUpstream, ...]
    removed: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class MapSpan:
    """A range of keys and its owner; see `laburnumhatch.keyspace.MapRange`."""

    first: int
    last: int
    owner: str
    born: int
    is_held: bool
    awaits_end_of_lease: bool


@dataclass(frozen=True, slots=True)
class MapChanges:
    """Ranges of a service's keys that changed since the last message on the stream.

    Attributes
    ----------
    service : str
    version : int
    is_full : bool
        Whether these are all ranges.
    changed : tuple of MapSpan
    removed : tuple of int
        First keys of ranges that are no more.
    """

    service: str
    version: int
    is_full: bool
    changed: tuple[MapSpan, ...]
    removed: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Totals:
    """What all instances together saw of each upstream; see `pack_totals`.

    Attributes
    ----------
    registry_version : int
        Version of the list whose upstreams, in order of their names, the totals belong to.
    packed : bytes
    """

    registry_version: int
    packed: bytes


@dataclass(frozen=True, slots=True)
class LeaderUpdate:
    """From the leader to the other instances.

    Attributes
    ----------
    leader, host : str
    port : int
        The leader and where it takes streams.
    term : int
    row_version : int
        Version of the leader's row in the store.
    instance_count : int
        Connected instances, the leader included.
    configuration_version : int
        Version of the configuration's row in the store; 0 where none is known.
    configuration_age, registry_age : timedelta
        Time since the leader's last good read of each.
    registry_changes : RegistryChanges or None
    map_changes : tuple of MapChanges
    totals : Totals or None
    """

    leader: str
    host: str
    port: int
    term: int
    row_version: int
    instance_count: int
    configuration_version: int
    configuration_age: timedelta
    registry_age: timedelta
    registry_changes: RegistryChanges | None
    map_changes: tuple[MapChanges, ...]
    totals: Totals | None


COORDINATION_FIRST = 400
COORDINATION_MESSAGES = (COORDINATION_FIRST, (LoadReport, LeaderUpdate))
