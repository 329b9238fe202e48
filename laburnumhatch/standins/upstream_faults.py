"""Faults that an upstream stand-in injects."""

from typing import Literal

from pydantic import Field

from ..settings import CheckedModel

__all__ = ["UpstreamFaults"]

MAX_DELAY_MS = 600_000


class UpstreamFaults(CheckedModel):
    """Faults that an upstream stand-in injects; ``PUT /faults`` replaces all of them.

    Attributes
    ----------
    frozen : bool
        Keep connections open and respond only on ``/faults``, ``/counters`` and ``/runs``. When
        it becomes false, the held requests continue normally.
    draining : bool
        Refuse new requests and finish those that run or wait.
    slow_ms : int
        Time added to the execution of each request.
    shed : int
        Number of following requests to refuse without execution.
    cut_answers : int
        Number of following responses to truncate in the middle of their body.
    health : str or None
        State that ``/health`` reports instead of the actual one.
    running, queued : int or None
        Counts that ``/load`` reports instead of the actual ones.
    health_lag_ms, load_lag_ms : int
        Maximum age of the reported state and of the reported load.
    """

    frozen: bool = False
    draining: bool = False
    slow_ms: int = Field(default=0, ge=0, le=MAX_DELAY_MS)
    shed: int = Field(default=0, ge=0)
    cut_answers: int = Field(default=0, ge=0)
    health: Literal["starting", "ready", "draining"] | None = None
    running: int | None = Field(default=None, ge=0)
    queued: int | None = Field(default=None, ge=0)
    health_lag_ms: int = Field(default=0, ge=0, le=MAX_DELAY_MS)
    load_lag_ms: int = Field(default=0, ge=0, le=MAX_DELAY_MS)
