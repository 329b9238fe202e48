"""Exit codes of the command line."""

from enum import IntEnum

__all__ = ["ExitCode"]


class ExitCode(IntEnum):
    """Exit code of a command, for scripts. The codes are described in docs/RESULT-CODES.md."""

    DONE = 0
    DIFFERENT = 1
    BAD_INPUT = 2
    CONFLICT = 3
    NOT_EVERYWHERE = 4
    PLATFORM_UNAVAILABLE = 5
    OUTCOME_UNKNOWN = 6
    INSTANCE_UNREACHABLE = 7
