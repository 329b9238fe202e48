"""A period in which a member is the leader."""

from dataclasses import dataclass
from datetime import timedelta

from .leader import Leader

__all__ = ["Tenure"]


@dataclass(slots=True, eq=False)
class Tenure:
    """A period in which this member is the leader, from its election on.

    Attributes
    ----------
    former_lease_duration : timedelta
        Longest lease duration of the grants that the leader before may have sent recently.
    leader : Leader or None
        The leader's work. None until the recorded owners of keys have been read: until then this
        member only renews its own row.
    is_over : bool
        Whether no further orders may be sent.
    """

    former_lease_duration: timedelta
    leader: Leader | None = None
    is_over: bool = False

    def end(self) -> None:
        """Stop all work, also if it has not begun yet, so that no further orders are sent."""
        self.is_over = True
        if self.leader is not None:
            self.leader.stop()
