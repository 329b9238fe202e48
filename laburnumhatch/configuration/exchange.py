"""Transfer of snapshots between instances, for outages of the object store."""

from collections.abc import Callable

from twisted.internet.defer import Deferred

from ..clocks import Clock, milliseconds
from ..links.interfaces import Links
from .messages import SnapshotPart, SnapshotRequest
from .snapshot import MAX_SNAPSHOT_BYTES

__all__ = ["SnapshotExchange"]

MAX_PART_BYTES = 64 * 1024
PART_TIMEOUT = milliseconds(1000)


class SnapshotExchange:
    """Serves the snapshot of this instance to its peers and fetches snapshots from them.

    Parameters
    ----------
    clock : Clock
    links : Links
    find_content : callable
        Takes a digest and returns the bytes of the snapshot, or None if this instance doesn't
        have it.

    Notes
    -----
    The receiver requests one part at a time. A transfer therefore occupies at most one part in
    the buffers of a stream and doesn't delay other messages for long.
    """

    def __init__(
        self, *, clock: Clock, links: Links, find_content: Callable[[str], bytes | None]
    ) -> None:
        self._clock = clock
        self._links = links
        self._find_content = find_content
        self._pending_parts: dict[tuple[str, str, int], Deferred[SnapshotPart | None]] = {}
        links.add_handler(SnapshotRequest, self._handle_request)
        links.add_handler(SnapshotPart, self._handle_part)

    async def fetch(self, instance: str, digest: str) -> bytes | None:
        """Return the bytes of a snapshot from `instance`, or None if the transfer fails.

        The caller must check the digest of the returned bytes.
        """
        content = b""
        while True:
            part = await self._fetch_part(instance, digest, len(content))
            if part is None or not part.content or part.total_bytes > MAX_SNAPSHOT_BYTES:
                return None
            content += part.content
            if len(content) >= part.total_bytes:
                return content

    async def _fetch_part(self, instance: str, digest: str, offset: int) -> SnapshotPart | None:
        key = (instance, digest, offset)
        if key in self._pending_parts or not self._links.send(
            instance, SnapshotRequest(digest, offset)
        ):
            return None
        pending_part: Deferred[SnapshotPart | None] = Deferred()
        self._pending_parts[key] = pending_part
        timeout = self._clock.call_later(PART_TIMEOUT, pending_part.callback, None)
        try:
            return await pending_part
        finally:
            self._pending_parts.pop(key, None)
            if timeout.active():
                timeout.cancel()

    def _handle_request(self, instance: str, request: SnapshotRequest) -> None:
        content = self._find_content(request.digest) or b""
        start = max(request.offset, 0)
        part = content[start : start + MAX_PART_BYTES]
        self._links.send(instance, SnapshotPart(request.digest, start, len(content), part))

    def _handle_part(self, instance: str, part: SnapshotPart) -> None:
        pending_part = self._pending_parts.pop((instance, part.digest, part.offset), None)
        if pending_part is not None:
            pending_part.callback(part)
