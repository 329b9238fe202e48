"""Grants to the upstream servers over HTTP."""

import json
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import Any

import treq
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.error import ConnectionRefusedError
from twisted.web.client import Agent, HTTPConnectionPool
from twisted.web.http_headers import Headers

from ..clocks import Clock, milliseconds, to_milliseconds
from ..routing import Target

__all__ = ["GrantAnswer", "GrantSender", "GrantSet", "SlotRange", "encode_grants", "slot_ranges"]

CONNECT_TIMEOUT = milliseconds(300)
CALL_TIMEOUT = milliseconds(500)
OK = 200
CONFLICT = 409


class GrantAnswer(Enum):
    """What became of a call with grants or revocations.

    ``GONE`` says that the server's address refused the connection, so that its process has
    ended; ``UNKNOWN`` says nothing about the server.
    """

    ACCEPTED = "accepted"
    FENCED = "fenced"
    GONE = "gone"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class SlotRange:
    """Consecutive slots, both ends included, under one epoch."""

    first: int
    last: int
    epoch: int


@dataclass(frozen=True, slots=True)
class GrantSet:
    """What one server is told of its slots and keys.

    Attributes
    ----------
    granted, revoked : tuple of SlotRange
    granted_keys, revoked_keys : tuple of (int, int)
        Key hash and epoch.
    valid : timedelta or None
        How long the grants last, for servers that honour it.
    version : int
        Version of the row that the set was worked out from; not sent.
    complete : bool
        Whether `revoked` names all slots and keys that the server doesn't own; not sent.
    """

    granted: tuple[SlotRange, ...] = ()
    revoked: tuple[SlotRange, ...] = ()
    granted_keys: tuple[tuple[int, int], ...] = ()
    revoked_keys: tuple[tuple[int, int], ...] = ()
    valid: timedelta | None = None
    version: int = 0
    complete: bool = False


def slot_ranges(slots: Iterable[tuple[int, int]]) -> tuple[SlotRange, ...]:
    """Return (slot, epoch) pairs in order of slot as ranges.

    Examples
    --------
    >>> slot_ranges([(1, 5), (2, 5), (3, 6)])
    (SlotRange(first=1, last=2, epoch=5), SlotRange(first=3, last=3, epoch=6))
    """
    ranges: list[SlotRange] = []
    for slot, epoch in slots:
        if ranges and ranges[-1].last == slot - 1 and ranges[-1].epoch == epoch:
            ranges[-1] = SlotRange(ranges[-1].first, slot, epoch)
        else:
            ranges.append(SlotRange(slot, slot, epoch))
    return tuple(ranges)


class GrantSender:
    """Sends grants and revocations to servers.

    Parameters
    ----------
    reactor
        A Twisted reactor that connects and keeps time.
    clock : Clock
    """

    def __init__(self, reactor: Any, clock: Clock) -> None:
        self._clock = clock
        self._pool = HTTPConnectionPool(reactor, persistent=True)
        self._pool.maxPersistentPerHost = 1
        self._pool.retryAutomatically = False
        self._agent: Any = Agent(
            reactor, connectTimeout=CONNECT_TIMEOUT.total_seconds(), pool=self._pool
        )

    async def send(self, service: str, target: Target, grants: GrantSet) -> GrantAnswer:
        """Tell a server of its grants; the answer says what is known afterwards."""
        call = Deferred.fromCoroutine(self._post(target, encode_grants(service, grants)))
        timeout = self._clock.call_later(CALL_TIMEOUT, call.cancel)
        try:
            status = await call
        except ConnectionRefusedError:
            return GrantAnswer.GONE
        except (CancelledError, Exception):
            return GrantAnswer.UNKNOWN
        finally:
            if timeout.active():
                timeout.cancel()
        return {OK: GrantAnswer.ACCEPTED, CONFLICT: GrantAnswer.FENCED}.get(
            status, GrantAnswer.UNKNOWN
        )

    async def _post(self, target: Target, body: bytes) -> int:
        response = await treq.post(
            f"http://{target.host}:{target.port}/grants",
            data=body,
            headers=Headers({"content-type": ["application/json"]}),
            agent=self._agent,
        )
        await response.content()
        status: int = response.code
        return status


def encode_grants(service: str, grants: GrantSet) -> bytes:
    """Return the body of ``POST /grants``."""
    valid = None if grants.valid is None else max(0, to_milliseconds(grants.valid))
    document = {
        "service": service,
        "grants": [_range(r) | {"valid_ms": valid} for r in grants.granted],
        "keys": [_key(*key) | {"valid_ms": valid} for key in grants.granted_keys],
        "revoked": [_range(r) for r in grants.revoked],
        "revoked_keys": [_key(*key) for key in grants.revoked_keys],
    }
    return json.dumps(document, separators=(",", ":")).encode()


def _range(r: SlotRange) -> dict[str, Any]:
    return {"first": r.first, "last": r.last, "epoch": r.epoch}


def _key(key_hash: int, epoch: int) -> dict[str, Any]:
    return {"hash": f"{key_hash:016x}", "epoch": epoch}
