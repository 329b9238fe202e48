"""Checks of the runs at the upstream servers for violations of the guarantees."""

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
        Instants of a clock that all servers share. A run without a recorded end ends when its
        server was killed, or else at the end of the record.
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
    """Two runs of requests for one key that overlapped in time at different servers."""

    first: ServerRun
    second: ServerRun


@dataclass(frozen=True, slots=True)
class EpochReversal:
    """A run that started with an older epoch than an earlier run for the same key."""

    earlier: ServerRun
    later: ServerRun


@dataclass(frozen=True, slots=True)
class RepeatedRun:
    """A request that must run at most once but ran more often."""

    request_id: str
    runs: tuple[ServerRun, ...]


def find_owner_overlaps(runs: Iterable[ServerRun]) -> list[OwnerOverlap]:
    """Return pairs of runs for one key that overlap at different servers.

    Parameters
    ----------
    runs : iterable of ServerRun

    Returns
    -------
    list of OwnerOverlap
        At least one pair for each key with an overlap. A run that starts at the end of another
        does not overlap it.

    Notes
    -----
    The runs of each key are sorted and swept in order of their start, which takes O(n log n) time.
    Only the run that ends last is kept for each server, because a later run that overlaps any run
    of the server overlaps that one.

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
    """Return the runs that started with an older epoch than an earlier run for the same key.

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
    """Return the requests with more than one run.

    Parameters
    ----------
    runs : iterable of ServerRun
        Runs of requests that must run at most once, with request identifiers that the callers
        assigned.
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
