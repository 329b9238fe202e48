"""The view of the instances: the platform's list and the heartbeats together."""

from collections.abc import Container, Iterable, Mapping
from dataclasses import dataclass
from datetime import timedelta

from ..clocks import milliseconds
from ..storage import InstanceState, ListedInstance
from .interfaces import Instance

__all__ = [
    "HEARD_TIMEOUT",
    "Heard",
    "alive_instances",
    "dialled_instances",
    "listed_instance",
    "live_instances",
    "silent_instances",
]

# Silence after which an instance counts as dead; five heartbeats.
HEARD_TIMEOUT = milliseconds(1250)


@dataclass(frozen=True, slots=True)
class Heard:
    """An instance as it was last heard.

    Attributes
    ----------
    instance : Instance
    leaving : bool
    last : timedelta
        Instant of its last message.
    """

    instance: Instance
    leaving: bool
    last: timedelta


def live_instances(
    listed: Iterable[ListedInstance],
    heard: Mapping[str, Heard],
    peers: Container[str],
    own: Instance,
    now: timedelta,
) -> tuple[Instance, ...]:
    """Return the instances that may take on new parts, in order of name.

    Parameters
    ----------
    listed : iterable of ListedInstance
        The platform's list as last fetched; it lags.
    heard : mapping of str to Heard
        By name of the instance.
    peers : container of str
        Names of the instances that this one keeps streams to.
    own : Instance
        This instance, which is always in the result.
    now : timedelta

    Returns
    -------
    tuple of Instance

    Notes
    -----
    An instance is alive if it was heard of late, whether it is listed or not: a listed instance
    that was never heard or fell silent is left out. Where this instance keeps streams to some of
    the others only, the list's word stands for the rest. Leaving is learned from the list or
    from the instance, whichever comes first. Costs one pass over both.
    """
    leaving = {i.name for i in listed if i.state is InstanceState.LEAVING}
    leaving.update(name for name, one in heard.items() if one.leaving)
    alive = {i.name: i for i in alive_instances(heard, own, now)}
    for i in listed:
        if i.name not in peers and i.name not in heard and i.name != own.name:
            alive[i.name] = listed_instance(i)
    return tuple(alive[n] for n in sorted(alive) if n == own.name or n not in leaving)


def alive_instances(
    heard: Mapping[str, Heard], own: Instance, now: timedelta
) -> tuple[Instance, ...]:
    """Return the instances that run, those that are leaving included, in order of name."""
    alive = {name: one.instance for name, one in heard.items() if now - one.last <= HEARD_TIMEOUT}
    alive[own.name] = own
    return tuple(alive[name] for name in sorted(alive))


def silent_instances(heard: Mapping[str, Heard], now: timedelta) -> frozenset[str]:
    """Return the names of the instances that were heard once and are silent now."""
    return frozenset(n for n, one in heard.items() if now - one.last > HEARD_TIMEOUT)


def dialled_instances(
    listed: Iterable[ListedInstance],
    heard: Mapping[str, Heard],
    seeds: Iterable[Instance],
    own: Instance,
    now: timedelta,
) -> tuple[Instance, ...]:
    """Return the instances that are worth dialling, in order of name.

    Notes
    -----
    Those of the settings, those listed, and those heard of late; for one name the address that
    was heard comes before the listed one, and that before the settings'.
    """
    known = {seed.name: seed for seed in seeds}
    known.update((i.name, listed_instance(i)) for i in listed)
    known.update((i.name, i) for i in alive_instances(heard, own, now))
    known.pop(own.name, None)
    return tuple(known[name] for name in sorted(known))


def listed_instance(listed: ListedInstance) -> Instance:
    """Return the instance that an entry of the platform's list describes."""
    return Instance(
        listed.name, listed.host, listed.peer_port, listed.admin_port, listed.data_centre
    )
