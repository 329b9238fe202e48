"""Faults that the platform stand-in injects."""

from pydantic import Field

from ..settings import CheckedModel

__all__ = ["ListFaults", "PlatformFaults", "StoreFaults"]

MAX_DELAY_MS = 600_000


class StoreFaults(CheckedModel):
    """Faults of the table or of the object store.

    Attributes
    ----------
    down : bool
        Answer 503 to every call.
    slow_ms : int
        Delay before a call takes effect. A write takes effect even if its caller has disconnected.
    lost_replies : int
        Number of following writes that take effect but whose connection is then aborted without
        a response.
    lost_writes : int
        Number of following writes that have no effect and whose connection is aborted without a
        response.
    """

    down: bool = False
    slow_ms: int = Field(default=0, ge=0, le=MAX_DELAY_MS)
    lost_replies: int = Field(default=0, ge=0)
    lost_writes: int = Field(default=0, ge=0)


class ListFaults(CheckedModel):
    """Faults of the instance list.

    Attributes
    ----------
    down : bool
        Answer 503 to every call.
    slow_ms : int
        Delay before a call is answered.
    lag_ms : int
        Delay before readers see a replaced list.
    """

    down: bool = False
    slow_ms: int = Field(default=0, ge=0, le=MAX_DELAY_MS)
    lag_ms: int = Field(default=0, ge=0, le=MAX_DELAY_MS)


class PlatformFaults(CheckedModel):
    """Faults that the platform stand-in injects; ``PUT /faults`` replaces all of them."""

    table: StoreFaults = StoreFaults()
    objects: StoreFaults = StoreFaults()
    instances: ListFaults = ListFaults()
