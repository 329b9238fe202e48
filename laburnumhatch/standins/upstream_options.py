"""What an upstream stand-in is like."""

from dataclasses import dataclass
from datetime import timedelta
from typing import TextIO

__all__ = ["UpstreamOptions"]


@dataclass(frozen=True, slots=True)
class UpstreamOptions:
    """What an upstream stand-in is like.

    Attributes
    ----------
    service, name : str
    slots : int
        Requests that run at a time.
    connections : int
        Connections that are accepted at a time.
    checks_fencing : bool
        Run only requests for whose slot or key a grant is held.
    queue_limit : int
        Requests that wait at most; further ones are refused unrun.
    cold_start : timedelta
        Time from the start in which no request is taken; as long again, work takes twice as long.
    work : timedelta
        Time that one request runs.
    honours_expiry : bool
        Whether grants end after their time; otherwise only tokens are compared.
    journal : text file or None
        Gets a line at the start and at the end of each run.
    """

    service: str
    name: str
    slots: int
    connections: int
    checks_fencing: bool
    queue_limit: int
    cold_start: timedelta
    work: timedelta
    honours_expiry: bool
    journal: TextIO | None = None
