"""Configuration of an upstream stand-in."""

from dataclasses import dataclass
from datetime import timedelta
from typing import TextIO

__all__ = ["UpstreamOptions"]


@dataclass(frozen=True, slots=True)
class UpstreamOptions:
    """Configuration of an upstream stand-in; most fields are bound to command-line options.

    Attributes
    ----------
    service, name : str
    slots : int
        Maximum number of requests that run concurrently.
    connections : int
        Maximum number of open connections.
    checks_fencing : bool
        Whether to run only requests for whose slot or key the server holds a grant.
    queue_limit : int
        Maximum number of waiting requests; further ones are refused without execution.
    cold_start : timedelta
        Time after the start during which all requests are refused. For the same time after
        that, each request takes twice as long.
    work : timedelta
        Execution time of one request.
    honours_expiry : bool
        Whether grants expire; otherwise only their fencing tokens are compared.
    journal : text file or None
        Receives a line at the start and at the end of each run.
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
