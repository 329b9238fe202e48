"""Faults of the upstream stand-in."""

from typing import Literal

from pydantic import Field

from ..settings import CheckedModel

__all__ = ["UpstreamFaults"]

MAX_MS = 600_000


class UpstreamFaults(CheckedModel):
    """All faults of the upstream stand-in; a ``PUT /faults`` replaces them together.

    Attributes
    ----------
    frozen : bool
        Keep connections and answer nothing but ``/faults`` and ``/runs``; on false, go on as
        though nothing had happened.
    draining : bool
        Take no new requests, finish those that run or wait.
    slow_ms : int
        Added to each request's work time.
    shed : int
        So many next requests are refused unrun.
    cut_answers : int
        So many next answers break off in the middle of their body.
    health : str or None
        What ``/health`` says, whatever the truth.
    running, queued : int or None
        What ``/load`` says, whatever the truth.
    health_lag_ms, load_lag_ms : int
        Age that a reading may have.
    """

    frozen: bool = False
    draining: bool = False
    slow_ms: int = Field(default=0, ge=0, le=MAX_MS)
    shed: int = Field(default=0, ge=0)
    cut_answers: int = Field(default=0, ge=0)
    health: Literal["starting", "ready", "draining"] | None = None
    running: int | None = Field(default=None, ge=0)
    queued: int | None = Field(default=None, ge=0)
    health_lag_ms: int = Field(default=0, ge=0, le=MAX_MS)
    load_lag_ms: int = Field(default=0, ge=0, le=MAX_MS)
