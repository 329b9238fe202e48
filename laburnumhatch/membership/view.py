"""Live instances derived from the platform's list and from heartbeats."""

from collections.abc import Container, Iterable, Mapping
from dataclasses import dataclass
from datetime import timedelta

from ..clocks import milliseconds
from ..storage import InstanceState, ListedInstance
from .interfaces import Instance

__all__ = [
    "HEARTBEAT_TIMEOUT",
    "HeardInstance",
    "running_instances",
    "dialled_instances",
    "listed_instance",
    "live_instances",
    "silent_instances",
]

# Time without a message after which an instance counts as dead: five heartbeat intervals.
HEARTBEAT_TIMEOUT = milliseconds(1250)


@dataclass(frozen=True, slots=True)
class HeardInstance:
    """An instance as described by its last messages.

    Attributes
    ----------
    instance : Instance
    is_leaving : bool
        Whether the instance announced that it is leaving.
    last_heard_at : timedelta
        Time at which its last message arrived.
    """

    instance: Instance
    is_leaving: bool
    last_heard_at: timedelta


def live_instances(
    listed: Iterable[ListedInstance],
    heard: Mapping[str, HeardInstance],
    peers: Container[str],
    own: Instance,
    now: timedelta,
) -> tuple[Instance, ...]:
    """Return the instances that may take on new work, sorted by name.

    Parameters
    ----------
    listed : iterable of ListedInstance
        The platform's list as last fetched; it lags behind the actual state.
    heard : mapping of str to HeardInstance
        Last messages of the other instances, by instance name.
    peers : container of str
        Names of the instances to which this one keeps streams.
    own : Instance
        This instance, which is always in the result.
    now : timedelta
        Current time of the clock that stamped `heard`.

    Returns
    -------
    tuple of Instance

    Notes
    -----
    A peer counts as running if it sent a message within `HEARTBEAT_TIMEOUT`, whether or not it is
    listed; a listed peer that never sent a message or stopped sending is excluded. Where this
    instance keeps streams to only some of the others, the list decides about the rest. An
    instance is leaving as soon as either the list or the instance itself says so. The cost is
    one pass over the list and over `heard`, and a sort of the result.
    """
    leaving = {i.name for i in listed if i.state is InstanceState.LEAVING}
    leaving.update(name for name, record in heard.items() if record.is_leaving)
    running = {i.name: i for i in running_instances(heard, own, now)}
    for i in listed:
        if i.name not in peers and i.name not in heard and i.name != own.name:
            running[i.name] = listed_instance(i)
    return tuple(running[n] for n in sorted(running) if n == own.name or n not in leaving)


def running_instances(
    heard: Mapping[str, HeardInstance], own: Instance, now: timedelta
) -> tuple[Instance, ...]:
    """Return the running instances sorted by name, including those that are leaving."""
    running = {
        name: record.instance
        for name, record in heard.items()
        if now - record.last_heard_at <= HEARTBEAT_TIMEOUT
    }
    running[own.name] = own
    return tuple(running[name] for name in sorted(running))


def silent_instances(heard: Mapping[str, HeardInstance], now: timedelta) -> frozenset[str]:
    """Return the names of the known instances whose heartbeats have timed out."""
    return frozenset(
        n for n, record in heard.items() if now - record.last_heard_at > HEARTBEAT_TIMEOUT
    )


def dialled_instances(
    listed: Iterable[ListedInstance],
    heard: Mapping[str, HeardInstance],
    seeds: Iterable[Instance],
    own: Instance,
    now: timedelta,
) -> tuple[Instance, ...]:
    """Return the instances that may be dialled, sorted by name.

    Notes
    -----
    These are the instances of the settings, those listed, and those with recent heartbeats. If
    the addresses of a name differ, the one that the instance sent takes precedence over the
    listed one, and the listed one over that of the settings.
    """
    known = {seed.name: seed for seed in seeds}
    known.update((i.name, listed_instance(i)) for i in listed)
    known.update((i.name, i) for i in running_instances(heard, own, now))
    known.pop(own.name, None)
    return tuple(known[name] for name in sorted(known))


def listed_instance(listed: ListedInstance) -> Instance:
    """Convert an entry of the platform's list to an `Instance`."""
    return Instance(
        listed.name, listed.host, listed.peer_port, listed.admin_port, listed.data_centre
    )
