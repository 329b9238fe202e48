"""Checks of what the upstream servers ran, against the promises."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

__all__ = [
    "EpochReversal",
    "OwnerOverlap",
    "RepeatedRun",
    "ServerRun",
    "find_epoch_reversals",
    "find_owner_overlaps",
    "find_repeated_runs",
]


@dataclass(frozen=True, slots=True)
class ServerRun:
    """One run of a request at a server.

    Attributes
    ----------
    service, key, server, request_id : str
    epoch : int
        Fencing token that the request carried.
    start, end : timedelta
        Instants of one clock that all servers share. A run that did not end within the record
        ends where its server was lost, or at the end of the record.
    """

    service: str
    key: str
    server: str
    request_id: str
    epoch: int
    start: timedelta
    end: timedelta


@dataclass(frozen=True, slots=True)
class OwnerOverlap:
    """Two servers ran requests for one key at the same time."""

    first: ServerRun
    second: ServerRun


@dataclass(frozen=True, slots=True)
class EpochReversal:
    """A run started under an older epoch than a run of its key that had started before."""

    earlier: ServerRun
    later: ServerRun


@dataclass(frozen=True, slots=True)
class RepeatedRun:
    """A request that may not be repeated ran more than once."""

    request_id: str
    runs: tuple[ServerRun, ...]


def find_owner_overlaps(runs: Iterable[ServerRun]) -> list[OwnerOverlap]:
    """Return the pairs of overlapping runs of one key at different servers.

    Parameters
    ----------
    runs : iterable of ServerRun

    Returns
    -------
    list of OwnerOverlap
        At least one pair for each key that has any; a run that only touches the end of another
        does not overlap it.

    Notes
    -----
    For each key the runs are swept in order of their start, which costs O(n log n). For every
    server only the run that ends last is kept, since it overlaps whatever an earlier-ending one
    does.

    Examples
    --------
    >>> from datetime import timedelta as t
    >>> u = ServerRun("s", "k", "a", "1", 1, t(seconds=0), t(seconds=2))
    >>> v = ServerRun("s", "k", "b", "2", 2, t(seconds=1), t(seconds=3))
    >>> len(find_owner_overlaps([u, v]))
    1
    """
    overlaps: list[OwnerOverlap] = []
    for key_runs in _by_key(runs):
        latest: dict[str, ServerRun] = {}
        for run in key_runs:
            overlaps.extend(
                OwnerOverlap(other, run)
                for server, other in latest.items()
                if server != run.server and other.end > run.start
            )
            known = latest.get(run.server)
            if known is None or known.end < run.end:
                latest[run.server] = run
    return overlaps


def find_epoch_reversals(runs: Iterable[ServerRun]) -> list[EpochReversal]:
    """Return the runs that started under an older epoch than an earlier run of their key.

    Parameters
    ----------
    runs : iterable of ServerRun

    Returns
    -------
    list of EpochReversal
    """
    reversals: list[EpochReversal] = []
    for key_runs in _by_key(runs):
        highest = key_runs[0]
        for run in key_runs[1:]:
            if run.epoch < highest.epoch:
                reversals.append(EpochReversal(highest, run))
            else:
                highest = run
    return reversals


def find_repeated_runs(runs: Iterable[ServerRun]) -> list[RepeatedRun]:
    """Return the requests that ran more than once.

    Parameters
    ----------
    runs : iterable of ServerRun
        Runs of requests that may not be repeated, each with the caller's own identifier.
    """
    by_request: dict[str, list[ServerRun]] = defaultdict(list)
    for run in runs:
        by_request[run.request_id].append(run)
    return [
        RepeatedRun(request_id, tuple(found))
        for request_id, found in by_request.items()
        if len(found) > 1
    ]


def _by_key(runs: Iterable[ServerRun]) -> list[list[ServerRun]]:
    groups: dict[tuple[str, str], list[ServerRun]] = defaultdict(list)
    for run in runs:
        groups[run.service, run.key].append(run)
    return [sorted(group, key=lambda run: (run.start, run.end)) for group in groups.values()]
