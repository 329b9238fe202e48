"""HTTP/1.1 server connections from callers and client connections to upstreams and the store."""

from .http_caller import CallFailed, HttpCaller, Response
from .inbound import CallerConnection, CallerFactory, CallerRequest
from .outbound import CallFailure, FailureKind, OutboundRequest, ResponseReceiver
from .pool import ConnectionPool, PooledCall

__all__ = [
    "CallFailed",
    "CallFailure",
    "CallerConnection",
    "CallerFactory",
    "CallerRequest",
    "ConnectionPool",
    "FailureKind",
    "HttpCaller",
    "OutboundRequest",
    "PooledCall",
    "Response",
    "ResponseReceiver",
]
