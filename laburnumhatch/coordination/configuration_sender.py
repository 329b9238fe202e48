"""Sending of the configuration in force from the leader to the other instances."""

import hashlib
from dataclasses import dataclass

from ..clocks import Clock, milliseconds
from ..links import ManagedLinks
from .document_changes import pack_changes
from .messages import ConfigurationUpdate

__all__ = ["MAX_CONTENT_BYTES", "ConfigurationSender", "digest_of"]

# Longest content of a message, below the longest message of a stream.
MAX_CONTENT_BYTES = 200_000
# Time after which an instance of which the leader doesn't know what it has is thought to have read
# the configuration from the store.
READING_TIME = milliseconds(3000)
DIGEST_BYTES = 16


@dataclass(frozen=True, slots=True)
class _Document:
    row_version: int
    version: int
    content: bytes


class ConfigurationSender:
    """Sends each version as the difference from what an instance has, or compressed as a whole.

    Parameters
    ----------
    clock : Clock
    links : ManagedLinks

    Notes
    -----
    An instance that gets none, or can't use it, reads the store. So nothing is sent again.
    """

    def __init__(self, clock: Clock, links: ManagedLinks) -> None:
        self._clock = clock
        self._links = links
        self._current: _Document | None = None
        self._current_since = clock.now()
        # What was last sent over the present streams.
        self._sent: dict[str, _Document] = {}
        links.add_connect_handler(self._forget)

    def use(self, row_version: int, version: int, content: bytes) -> None:
        """Send this document, which a row of the store holds, from now on."""
        self._current = _Document(row_version, version, content)
        self._current_since = self._clock.now()

    def forget_peers(self) -> None:
        """Assume nothing of what the other instances have."""
        self._sent.clear()

    def update_followers(self) -> None:
        """Send the document to the instances that don't have it, as the leader."""
        current, peers = self._current, self._links.connected_peers()
        self._sent = {peer: sent for peer, sent in self._sent.items() if peer in peers}
        if current is None:
            return
        is_new = self._clock.now() - self._current_since < READING_TIME
        updates: dict[bytes, ConfigurationUpdate] = {}
        for peer in peers:
            sent = self._sent.get(peer)
            if sent is current or (sent is None and not is_new):
                continue
            former = sent.content if sent is not None else b""
            update = updates.get(former)
            if update is None:
                update = updates[former] = _update_from(former, current)
            if len(update.changes) <= MAX_CONTENT_BYTES and self._links.send(peer, update):
                self._sent[peer] = current

    def _forget(self, peer: str) -> None:
        self._sent.pop(peer, None)


def digest_of(content: bytes) -> bytes:
    """Return a digest by which two instances know that they have the same document.

    It is empty for an empty document.
    """
    return hashlib.sha256(content).digest()[:DIGEST_BYTES] if content else b""


def _update_from(former: bytes, document: _Document) -> ConfigurationUpdate:
    return ConfigurationUpdate(
        document.row_version,
        document.version,
        digest_of(former),
        pack_changes(former, document.content),
    )
