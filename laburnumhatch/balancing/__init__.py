"""Choice of targets for services without exclusive owners."""

from .interfaces import TargetChooser

__all__ = ["TargetChooser"]
