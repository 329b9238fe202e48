"""Transfer of snapshots between instances, for outages of the object store."""

from collections.abc import Callable

from twisted.internet.defer import Deferred

from ..clocks import Clock, milliseconds
from ..links.interfaces import Links
from .messages import SnapshotPart, SnapshotRequest
from .snapshot import MAX_SNAPSHOT_BYTES

__all__ = ["SnapshotExchange"]

PART_BYTES = 64 * 1024
PART_TIMEOUT = milliseconds(1000)


class SnapshotExchange:
    """Serves the snapshot of this instance to its peers and fetches snapshots from them.

    Parameters
    ----------
    clock : Clock
    links : Links
    content_of : callable
        Takes a digest and returns the bytes of the snapshot, or None if this instance doesn't
        have it.

    Notes
    -----
    The receiver requests one part at a time. A transfer therefore occupies at most one part in
    the buffers of a stream and doesn't delay other messages for long.
    """

    def __init__(
        self, *, clock: Clock, links: Links, content_of: Callable[[str], bytes | None]
    ) -> None:
        self._clock = clock
        self._links = links
        self._content_of = content_of
        self._waiting: dict[tuple[str, str, int], Deferred[SnapshotPart | None]] = {}
        links.handle(SnapshotRequest, self._requested)
        links.handle(SnapshotPart, self._arrived)

    async def fetch(self, instance: str, digest: str) -> bytes | None:
        """Return the bytes of a snapshot from `instance`, or None if the transfer fails.

        The caller must check the digest of the returned bytes.
        """
        content = b""
        while True:
            part = await self._fetch_part(instance, digest, len(content))
            if part is None or not part.content or part.total > MAX_SNAPSHOT_BYTES:
                return None
            content += part.content
            if len(content) >= part.total:
                return content

    async def _fetch_part(self, instance: str, digest: str, offset: int) -> SnapshotPart | None:
        key = (instance, digest, offset)
        if key in self._waiting or not self._links.send(instance, SnapshotRequest(digest, offset)):
            return None
        waiting: Deferred[SnapshotPart | None] = Deferred()
        self._waiting[key] = waiting
        timeout = self._clock.call_later(PART_TIMEOUT, waiting.callback, None)
        try:
            return await waiting
        finally:
            self._waiting.pop(key, None)
            if timeout.active():
                timeout.cancel()

    def _requested(self, instance: str, request: SnapshotRequest) -> None:
        content = self._content_of(request.digest) or b""
        start = max(request.offset, 0)
        part = content[start : start + PART_BYTES]
        self._links.send(instance, SnapshotPart(request.digest, start, len(content), part))

    def _arrived(self, instance: str, part: SnapshotPart) -> None:
        waiting = self._waiting.pop((instance, part.digest, part.offset), None)
        if waiting is not None:
            waiting.callback(part)
