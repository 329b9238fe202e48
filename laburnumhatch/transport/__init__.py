"""HTTP/1.1 server connections from callers and client connections to upstreams and the store."""

from .http_caller import CallFailed, HttpCaller, Reply
from .inbound import CallerConnection, CallerFactory, CallerRequest
from .outbound import AnswerReceiver, CallFailure, FailureKind, OutboundRequest
from .pool import ConnectionPool, PooledCall

__all__ = [
    "AnswerReceiver",
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
    "Reply",
]
