"""Grants and revocations sent to the upstream servers over HTTP."""

import json
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import Any

from twisted.internet.defer import CancelledError, Deferred

from ..clocks import Clock, milliseconds, to_milliseconds
from ..routing import Target
from ..storage.http import HttpAnswer, HttpClient, ReplyLost, RequestNotSent
from .server_clock import ServerClock, grant_end

__all__ = ["GrantAnswer", "GrantSender", "GrantSet", "SlotRange", "encode_grants", "slot_ranges"]

CONNECT_TIMEOUT = milliseconds(300)
CALL_TIMEOUT = milliseconds(500)
OK = 200
CONFLICT = 409
JSON_HEADERS = {"content-type": "application/json"}


class GrantAnswer(Enum):
    """Outcome of a call with grants or revocations.

    ``FENCED`` means that the server has seen a newer epoch. ``GONE`` means that the server's
    address refused the connection, so its process has ended. ``UNKNOWN`` says nothing about the
    server.
    """

    ACCEPTED = "accepted"
    FENCED = "fenced"
    GONE = "gone"
    UNKNOWN = "unknown"


_ANSWERS = {OK: GrantAnswer.ACCEPTED, CONFLICT: GrantAnswer.FENCED}


@dataclass(frozen=True, slots=True)
class SlotRange:
    """Consecutive slots, both ends included, under one epoch."""

    first: int
    last: int
    epoch: int


@dataclass(frozen=True, slots=True)
class GrantSet:
    """Grants and revocations for one server.

    Attributes
    ----------
    granted, revoked : tuple of SlotRange
    granted_keys, revoked_keys : tuple of (int, int)
        Pairs of key hash and epoch.
    validity : timedelta or None
        Duration of the grants, for servers that honour expiry.
    version : int
        Version of the row from which the set was derived; not sent.
    is_complete : bool
        Whether `revoked` names all slots and keys that the server doesn't own; not sent.
    """

    granted: tuple[SlotRange, ...] = ()
    revoked: tuple[SlotRange, ...] = ()
    granted_keys: tuple[tuple[int, int], ...] = ()
    revoked_keys: tuple[tuple[int, int], ...] = ()
    validity: timedelta | None = None
    version: int = 0
    is_complete: bool = False


def slot_ranges(slots: Iterable[tuple[int, int]]) -> tuple[SlotRange, ...]:
    """Return ranges for (slot, epoch) pairs that are sorted by slot.

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
        A Twisted reactor for connections and timers.
    clock : Clock
    """

    def __init__(self, reactor: Any, clock: Clock) -> None:
        self._clock = clock
        # None for a server that has answered without a clock reading.
        self._clocks: dict[Target, ServerClock | None] = {}
        self._client = HttpClient(reactor, clock, CONNECT_TIMEOUT, max_idle_connections=1)

    async def send(self, service: str, target: Target, grants: GrantSet) -> GrantAnswer:
        """Send grants and revocations to a server, and return the outcome.

        Notes
        -----
        A server that reports its clock gets grants that end at an instant of that clock, with
        their duration counted from the call of this method. If the clock isn't known yet, an empty
        set of grants is sent first to learn it.
        """
        started_at = self._clock.now()
        call = Deferred.fromCoroutine(self._send_grants(service, target, grants, started_at))
        timeout = self._clock.call_later(CALL_TIMEOUT, call.cancel)
        try:
            return await call
        except CancelledError:
            return GrantAnswer.UNKNOWN
        finally:
            if timeout.active():
                timeout.cancel()

    async def _send_grants(
        self, service: str, target: Target, grants: GrantSet, started_at: timedelta
    ) -> GrantAnswer:
        if target not in self._clocks:
            await self._post(target, encode_grants(service, GrantSet()))
        answer = await self._post(target, self._encode(service, target, grants, started_at))
        if isinstance(answer, _ServerAnswer) and answer.clock_differs:
            # Another process now serves this address; its answer holds its own clock.
            answer = await self._post(target, self._encode(service, target, grants, started_at))
        if isinstance(answer, RequestNotSent) and answer.refused:
            self._clocks.pop(target, None)
            return GrantAnswer.GONE
        if not isinstance(answer, _ServerAnswer) or answer.clock_differs:
            return GrantAnswer.UNKNOWN
        return _ANSWERS.get(answer.status, GrantAnswer.UNKNOWN)

    def _encode(
        self, service: str, target: Target, grants: GrantSet, started_at: timedelta
    ) -> bytes:
        clock = self._clocks.get(target)
        if clock is None or grants.validity is None:
            return encode_grants(service, grants)
        return encode_grants(service, grants, clock, grant_end(clock, started_at, grants.validity))

    async def _post(
        self, target: Target, body: bytes
    ) -> "_ServerAnswer | RequestNotSent | ReplyLost":
        url = f"http://{target.host}:{target.port}/grants"
        reply = await self._client.call("POST", url, JSON_HEADERS, body, CALL_TIMEOUT)
        if not isinstance(reply, HttpAnswer):
            return reply
        received = self._clock.now()
        answer = _decode_answer(reply.status, reply.body)
        self._clocks[target] = None
        if answer.clock is not None:
            self._clocks[target] = ServerClock(answer.clock, answer.clock_ms, received)
        return answer


@dataclass(frozen=True, slots=True)
class _ServerAnswer:
    status: int
    clock: str | None
    clock_ms: int
    clock_differs: bool


def _decode_answer(status: int, content: bytes) -> _ServerAnswer:
    try:
        document = json.loads(content)
    except ValueError:
        document = None
    fields = document if isinstance(document, dict) else {}
    clock, clock_ms = fields.get("clock"), fields.get("clock_ms")
    if not isinstance(clock, str) or not isinstance(clock_ms, int):
        return _ServerAnswer(status, None, 0, False)
    return _ServerAnswer(status, clock, clock_ms, fields.get("clock_differs") is True)


def encode_grants(
    service: str, grants: GrantSet, clock: ServerClock | None = None, until_ms: int | None = None
) -> bytes:
    """Return the body of ``POST /grants``.

    Parameters
    ----------
    service : str
    grants : GrantSet
    clock : ServerClock, optional
        The server's clock, if it is known.
    until_ms : int, optional
        Instant of that clock at which the grants end, no matter when they arrive.
    """
    validity_ms = None if grants.validity is None else max(0, to_milliseconds(grants.validity))
    document = {
        "service": service,
        "clock": None if clock is None else clock.name,
        "until_ms": until_ms,
        "grants": [_range(r) | {"valid_ms": validity_ms} for r in grants.granted],
        "keys": [_key(*key) | {"valid_ms": validity_ms} for key in grants.granted_keys],
        "revoked": [_range(r) for r in grants.revoked],
        "revoked_keys": [_key(*key) for key in grants.revoked_keys],
    }
    return json.dumps(document, separators=(",", ":")).encode()


def _range(r: SlotRange) -> dict[str, Any]:
    return {"first": r.first, "last": r.last, "epoch": r.epoch}


def _key(key_hash: int, epoch: int) -> dict[str, Any]:
    return {"hash": f"{key_hash:016x}", "epoch": epoch}
