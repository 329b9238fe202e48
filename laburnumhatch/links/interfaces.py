"""Interfaces of the links between entry instances."""

from collections.abc import Callable, Iterable
from typing import Any, Protocol

from .dialer import PeerAddress

__all__ = ["Links", "ManagedLinks", "MessageHandler"]

# Called with the name of the sending instance and a message, which is a frozen dataclass that is
# registered with the codec.
MessageHandler = Callable[[str, Any], None]


class Links(Protocol):
    """Streams to the other entry instances.

    Notes
    -----
    Messages that are sent on one stream arrive in order. They may be lost when the stream ends;
    the links don't retransmit them.
    """

    def send(self, instance: str, message: object) -> bool:
        """Send a message and return True, or return False if it can't be sent.

        A message can't be sent without an open stream to `instance` or while its send buffer is
        full.
        """

    def add_handler(self, message_type: type, handler: MessageHandler) -> None:
        """Call ``handler(instance, message)`` for each received message of a type."""

    def connected_peers(self) -> tuple[str, ...]:
        """Return the names of the instances with an open stream."""


class ManagedLinks(Links, Protocol):
    """Links whose peers are chosen by their user."""

    def add_connect_handler(self, handler: Callable[[str], None]) -> None:
        """Call ``handler(instance)`` whenever a stream to an instance opens."""

    def set_peers(self, peers: Iterable[PeerAddress], *, is_mutual: bool = True) -> None:
        """Replace the set of instances that this instance dials.

        Parameters
        ----------
        peers : iterable of PeerAddress
        is_mutual : bool, optional
            Whether the peers dial this instance too. If so, the instance whose name sorts first
            dials at once, and the other one only after a delay.
        """
