"""Authenticated streams of msgpack messages between entry instances."""

from .codec import Codec, MessageInvalid
from .dialer import PeerAddress
from .interfaces import Links, ManagedLinks, MessageHandler
from .messages import LINK_MESSAGES
from .peer_links import PeerLinks
from .stream import StreamTimeouts

__all__ = [
    "LINK_MESSAGES",
    "Codec",
    "Links",
    "ManagedLinks",
    "MessageHandler",
    "MessageInvalid",
    "PeerAddress",
    "PeerLinks",
    "StreamTimeouts",
]
