"""Codec of the messages between entry instances."""

from ..configuration import CONFIGURATION_MESSAGES
from ..links import LINK_MESSAGES, Codec
from ..membership import MEMBERSHIP_MESSAGES
from ..ownership.messages import OWNERSHIP_MESSAGES

__all__ = ["build_codec"]

OWNERSHIP_FIRST_NUMBER = 100
MEMBERSHIP_FIRST_NUMBER = 200
CONFIGURATION_FIRST_NUMBER = 300


def build_codec() -> Codec:
    """Return the codec of all messages between entry instances.

    Notes
    -----
    The first number of each message family and the order of the messages in it are part of the
    protocol.
    """
    return Codec(
        [
            LINK_MESSAGES,
            (OWNERSHIP_FIRST_NUMBER, OWNERSHIP_MESSAGES),
            (MEMBERSHIP_FIRST_NUMBER, MEMBERSHIP_MESSAGES),
            (CONFIGURATION_FIRST_NUMBER, CONFIGURATION_MESSAGES),
        ]
    )
