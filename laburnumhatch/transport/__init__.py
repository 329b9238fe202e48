"""HTTP/1.1 server connections from callers and client connections to upstreams and the store."""

from .caller_request import CallerRequest
from .connection_limit import ConnectionLimit, connection_limit
from .http_caller import CallFailed, HttpCaller, Response
from .inbound import MAX_REQUESTS_AHEAD, CallerConnection, CallerFactory
from .memory_budget import HeldKind, MemoryBudget, held_bytes_limit
from .outbound import CallFailure, FailureKind, OutboundRequest, ResponseReceiver
from .pool import ConnectionPool, PooledCall
from .request_body import RequestBody
from .unanswered import Unanswered, UnansweredCause, UnansweredReport

__all__ = [
    "MAX_REQUESTS_AHEAD",
    "CallFailed",
    "CallFailure",
    "CallerConnection",
    "CallerFactory",
    "CallerRequest",
    "ConnectionLimit",
    "ConnectionPool",
    "FailureKind",
    "HeldKind",
    "HttpCaller",
    "MemoryBudget",
    "OutboundRequest",
    "PooledCall",
    "RequestBody",
    "Response",
    "ResponseReceiver",
    "Unanswered",
    "UnansweredCause",
    "UnansweredReport",
    "connection_limit",
    "held_bytes_limit",
]
