"""Messages between entry instances about ownership."""

__all__ = ["OWNERSHIP_MESSAGES"]

OWNERSHIP_MESSAGES: tuple[type, ...] = ()
