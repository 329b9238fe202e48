"""Text output and exit code for the outcome of a publication."""

from ..configuration import (
    InForce,
    NotInForce,
    PublishConflict,
    Published,
    PublishFailed,
    PublishUnknown,
    VersionUnknown,
)
from .exit_codes import ExitCode

__all__ = ["ChangeOutcome", "exit_code_of", "render_outcome", "render_report"]

ChangeOutcome = Published | PublishConflict | PublishFailed | PublishUnknown | VersionUnknown
SHORT_DIGEST_LENGTH = 12


def exit_code_of(outcome: ChangeOutcome, report: InForce | NotInForce | None) -> ExitCode:
    """Return the exit code for a publication and for the instances' reports of its version."""
    match outcome:
        case Published():
            return ExitCode.NOT_EVERYWHERE if isinstance(report, NotInForce) else ExitCode.DONE
        case PublishConflict():
            return ExitCode.CONFLICT
        case PublishFailed():
            return ExitCode.PLATFORM_UNAVAILABLE
        case PublishUnknown():
            return ExitCode.OUTCOME_UNKNOWN
        case VersionUnknown():
            return ExitCode.BAD_INPUT


def render_outcome(outcome: ChangeOutcome) -> str:
    """Return the text output for an outcome, with what the operator can do next.

    Examples
    --------
    >>> render_outcome(Published(3, "ab" * 32, changed=False))
    'version 3 (abababababab) was in force already; nothing was written'
    """
    match outcome:
        case Published(version, digest, True):
            return f"version {version} ({_short(digest)}) is in force"
        case Published(version, digest):
            return f"version {version} ({_short(digest)}) was in force already; nothing was written"
        case PublishConflict(version, publisher, digest, own_digest):
            return (
                f"conflict: {publisher or 'nobody'} has version {version} ({_short(digest)}) in"
                f" force; your snapshot {_short(own_digest)} is stored but not in force. Look at"
                " the difference with `laburnumhatch diff` and publish again."
            )
        case PublishFailed(reason):
            return f"nothing was put into force: {reason.rstrip('.')}. Publish again later."
        case PublishUnknown(version, digest, reason):
            return (
                f"not known whether version {version} ({_short(digest)}) is in force: {reason}."
                " Ask with `laburnumhatch status` or publish again once the platform answers."
            )
        case VersionUnknown(version, known):
            versions = ", ".join(str(n) for n in known) or "none"
            return f"version {version} can't be rolled back to; known versions: {versions}"


def render_report(report: InForce | NotInForce) -> str:
    """Return the text output that lists which instances report the version and which don't.

    Examples
    --------
    >>> render_report(InForce(3, ("entry-1", "entry-2")))
    'reported by entry-1, entry-2'
    """
    reported = f"reported by {', '.join(report.instances) or 'no instance'}"
    if isinstance(report, InForce):
        return reported
    lines = [f"  {laggard.instance}: {laggard.reason}" for laggard in report.laggards]
    return "\n".join([f"not everywhere yet: {report.reason}; {reported}", *lines])


def _short(digest: str) -> str:
    return digest[:SHORT_DIGEST_LENGTH]
