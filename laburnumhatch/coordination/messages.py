"""Messages between the leader and the other instances."""

from dataclasses import dataclass
from datetime import timedelta

__all__ = [
    "COORDINATION_MESSAGES",
    "KeyCount",
    "ListedUpstream",
    "LoadReport",
    "MapNews",
    "MapSpan",
    "News",
    "UpstreamNews",
    "UpstreamShare",
    "UpstreamTotal",
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
class UpstreamTotal:
    """What all instances together saw of an upstream.

    Attributes
    ----------
    name : str
    in_flight : int
        Over all instances, as last reported.
    service_time : timedelta
        Smoothed time that one request takes a slot; zero where none was answered.
    declined : float
        Smoothed share of answers that say that the request did not run.
    """

    name: str
    in_flight: int
    service_time: timedelta
    declined: float


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
    warmup_left: timedelta


@dataclass(frozen=True, slots=True)
class MapSpan:
    """A range of keys and its owner; see `laburnumhatch.keyspace.MapRange`."""

    first: int
    last: int
    owner: str
    born: int
    is_held: bool


@dataclass(frozen=True, slots=True)
class MapNews:
    """The owners of a service's keys."""

    service: str
    version: int
    spans: tuple[MapSpan, ...]


@dataclass(frozen=True, slots=True)
class UpstreamNews:
    """The upstreams as the leader read them; `age` is the time since that read."""

    age: timedelta
    upstreams: tuple[ListedUpstream, ...] | None


@dataclass(frozen=True, slots=True)
class News:
    """From the leader to the other instances.

    Attributes
    ----------
    leader, host : str
    port : int
        The leader and where it takes streams.
    term : int
    renewal : int
        Version of the leader's row in the store.
    instances : int
        Connected instances, the leader included.
    configuration : int
        Version of the configuration's row in the store; 0 where none is known.
    configuration_age : timedelta
        Time since the leader's last good look at it.
    registry : UpstreamNews
        The upstreams only where they changed.
    maps : tuple of MapNews
        Those that changed.
    totals : tuple of UpstreamTotal
        Of upstreams that have any load.
    """

    leader: str
    host: str
    port: int
    term: int
    renewal: int
    instances: int
    configuration: int
    configuration_age: timedelta
    registry: UpstreamNews
    maps: tuple[MapNews, ...]
    totals: tuple[UpstreamTotal, ...]


COORDINATION_FIRST = 400
COORDINATION_MESSAGES = (COORDINATION_FIRST, (LoadReport, News))
