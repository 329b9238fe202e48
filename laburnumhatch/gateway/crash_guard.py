"""Protection of the upstreams from requests that crash them."""

from datetime import timedelta

from ..coordination.crash_reports import CrashReports
from ..fleet import UpstreamIncarnation
from ..transport import CallerRequest
from .fingerprint import fingerprint_of, head_of

__all__ = ["CrashGuard"]


class CrashGuard:
    """Tells which requests may be sent, and records how their attempts end.

    Parameters
    ----------
    reports : CrashReports
    """

    def __init__(self, reports: CrashReports) -> None:
        self._reports = reports

    def is_banned(self, request: CallerRequest) -> bool:
        """Return whether a request is sent to no upstream, because it crashes them."""
        return self._is_known(request) and self._reports.is_banned(fingerprint_of(request))

    def may_repeat(self, request: CallerRequest) -> bool:
        """Return whether a request that was lost may be sent to another upstream."""
        if not self._is_known(request):
            return True
        return not self._reports.record.is_suspect(fingerprint_of(request))

    def note_lost(self, request: CallerRequest, upstream: UpstreamIncarnation) -> None:
        """Record that a request's connection ended before any answer."""
        self._reports.note_lost(upstream, fingerprint_of(request))

    def note_alive(self, upstream: UpstreamIncarnation, sent_at: timedelta) -> None:
        """Record that an upstream has answered a request that was sent at an instant."""
        self._reports.note_alive(upstream, sent_at)

    def note_answered(self, request: CallerRequest) -> None:
        """Record that an upstream has run a request and lived to answer it."""
        if self._is_known(request):
            self._reports.note_answered(fingerprint_of(request))

    def _is_known(self, request: CallerRequest) -> bool:
        """Return whether a request may have been aboard a crash, without reading its body."""
        record = self._reports.record
        return bool(record) and record.knows(head_of(request))
