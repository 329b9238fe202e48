"""Choice of targets for services without exclusive owners."""

from .chooser import TwoChoices
from .interfaces import TargetChooser

__all__ = ["TargetChooser", "TwoChoices"]
