"""Faults of the platform stand-in."""

from pydantic import Field

from ..settings import CheckedModel

__all__ = ["ListFaults", "PlatformFaults", "StoreFaults"]

MAX_SLOW_MS = 600_000


class StoreFaults(CheckedModel):
    """Faults of the table or of the object store.

    Attributes
    ----------
    down : bool
        Answer 503 to every call.
    slow_ms : int
        Delay before a call takes effect. A write whose caller has given up still takes effect.
    lost_replies : int
        So many next writes take effect, and then their connection closes without an answer.
    lost_writes : int
        So many next writes have no effect, and their connection closes without an answer.
    """

    down: bool = False
    slow_ms: int = Field(default=0, ge=0, le=MAX_SLOW_MS)
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
        Time until a replaced list is seen by readers.
    """

    down: bool = False
    slow_ms: int = Field(default=0, ge=0, le=MAX_SLOW_MS)
    lag_ms: int = Field(default=0, ge=0, le=MAX_SLOW_MS)


class PlatformFaults(CheckedModel):
    """All faults of the platform stand-in; a ``PUT /faults`` replaces them together."""

    table: StoreFaults = StoreFaults()
    objects: StoreFaults = StoreFaults()
    instances: ListFaults = ListFaults()
