"""Probes of a target's health and load endpoints."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Literal

from pydantic import BaseModel, Field, ValidationError

from ..clocks import Clock, milliseconds
from ..routing import Target
from ..storage import HttpClient
from ..storage.http import HttpAnswer, ReplyLost, RequestNotSent
from .target_record import Signal

__all__ = ["Probe", "ProbeOutcome", "TargetLoad", "http_probe"]

PROBE_TIMEOUT = milliseconds(450)
# Minimum time between two reads of one target's load endpoint.
LOAD_INTERVAL = milliseconds(5000)
OK = 200


class TargetLoad(BaseModel, frozen=True):
    """Response of a target's load endpoint; it may be stale or wrong."""

    running: int = Field(ge=0)
    queued: int = Field(ge=0)
    slots: int = Field(ge=0)


class TargetHealthAnswer(BaseModel, frozen=True):
    """Response of a target's health endpoint."""

    state: Literal["starting", "ready", "draining"]


@dataclass(frozen=True, slots=True)
class ProbeOutcome:
    """Result of one probe.

    Attributes
    ----------
    signal : Signal
    load : TargetLoad or None
        None if the load endpoint was not read or gave no valid response.
    """

    signal: Signal
    load: TargetLoad | None = None


Probe = Callable[[Target], Awaitable[ProbeOutcome]]

_SIGNALS = {
    "starting": Signal.HEALTH_STARTING,
    "ready": Signal.HEALTH_READY,
    "draining": Signal.DRAINING,
}


def http_probe(client: HttpClient, clock: Clock) -> Probe:
    """Return a function that probes a target over HTTP.

    Notes
    -----
    ``GET /health`` determines the signal. If the target is ready, ``GET /load`` follows at most
    once per `LOAD_INTERVAL`. A probe without a valid response within `PROBE_TIMEOUT` yields
    `Signal.PROBE_SILENCE`.
    """
    load_read_at: dict[tuple[str, int], timedelta] = {}

    async def probe(target: Target) -> ProbeOutcome:
        answer = await _get(client, target, "/health")
        if isinstance(answer, RequestNotSent) and answer.refused:
            return ProbeOutcome(Signal.REFUSED)
        if not isinstance(answer, HttpAnswer) or answer.status != OK:
            return ProbeOutcome(Signal.PROBE_SILENCE)
        try:
            health = TargetHealthAnswer.model_validate_json(answer.body)
        except ValidationError:
            return ProbeOutcome(Signal.PROBE_SILENCE)
        signal = _SIGNALS[health.state]
        last_read_at = load_read_at.get((target.host, target.port))
        if signal is not Signal.HEALTH_READY or (
            last_read_at and clock.now() - last_read_at < LOAD_INTERVAL
        ):
            return ProbeOutcome(signal)
        load_read_at[target.host, target.port] = clock.now()
        return ProbeOutcome(signal, await _read_load(client, target))

    return probe


async def _read_load(client: HttpClient, target: Target) -> TargetLoad | None:
    answer = await _get(client, target, "/load")
    if not isinstance(answer, HttpAnswer) or answer.status != OK:
        return None
    try:
        return TargetLoad.model_validate_json(answer.body)
    except ValidationError:
        return None


async def _get(
    client: HttpClient, target: Target, path: str
) -> HttpAnswer | RequestNotSent | ReplyLost:
    url = f"http://{target.host}:{target.port}{path}"
    return await client.call("GET", url, {}, timeout=PROBE_TIMEOUT)
