"""What the other packages ask of the links between entry instances."""

from collections.abc import Callable
from typing import Any, Protocol, TypeVar

__all__ = ["Links", "MessageHandler"]

# A message is a frozen dataclass that is registered with the codec.
MessageHandler = Callable[[str, Any], None]
M = TypeVar("M")


class Links(Protocol):
    """Streams to the other entry instances.

    Notes
    -----
    Messages to one instance arrive in order while one stream lasts; they may be lost when it
    breaks. Nothing is sent again by the links themselves.
    """

    def send(self, instance: str, message: object) -> bool:
        """Send a message; False where there is no open stream to `instance` or it is full."""

    def handle(self, message_type: type, handler: MessageHandler) -> None:
        """Call ``handler(instance, message)`` for each message of a type."""

    def connected(self) -> tuple[str, ...]:
        """Return the names of the instances with an open stream."""
