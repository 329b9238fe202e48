"""The configuration in force, which instances pass on to those that know only an older one.

The leader alone reads a new version from the store and sends it to the others. They read the store
if they don't hear a leader, or can't use what it sends.

A store that has come back from an older copy holds an older configuration until the operator writes
the newest again. An instance that starts meanwhile gets the newer one from the leader.
"""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

import logbook

from ..clocks import Clock, milliseconds
from ..fleet import RouteTable
from ..links import ManagedLinks
from .configuration_sender import MAX_CONTENT_BYTES, ConfigurationSender, digest_of
from .document_changes import apply_changes, pack_changes
from .messages import ConfigurationContent, ConfigurationRequest, ConfigurationUpdate
from .store import generation_of

__all__ = ["SharedConfiguration", "StoredConfiguration"]

# Time after the start within which the present leader tells which configuration is in force, unless
# it is lost or unreachable.
LEADER_ANNOUNCEMENT_TIMEOUT = milliseconds(400)
# Minimum time between two requests for a newer configuration.
REQUEST_INTERVAL = milliseconds(500)
LONG_AGO = timedelta(days=-1)

_log = logbook.Logger("laburnumhatch.member")


@dataclass(frozen=True, slots=True)
class StoredConfiguration:
    """A version of the configuration, with the document that it was decoded from."""

    routes: RouteTable
    content: bytes


class SharedConfiguration:
    """The configuration in force at this instance; its version never decreases.

    Parameters
    ----------
    clock : Clock
    links : ManagedLinks
    decode : callable
        Decodes a document into a `StoredConfiguration`; returns None if it is invalid.
    may_leader_announce : callable
        Returns whether a leader may be there that hasn't announced its configuration yet.
    on_row_known : callable
        Called with the version of a row of the store that needn't be read any more.
    on_change : callable
        Called when another configuration is in force.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        links: ManagedLinks,
        decode: Callable[[bytes], StoredConfiguration | None],
        may_leader_announce: Callable[[], bool],
        on_row_known: Callable[[int], None],
        on_change: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._links = links
        self._sender = ConfigurationSender(clock, links)
        self._decode = decode
        self._may_leader_announce = may_leader_announce
        self._on_row_known = on_row_known
        self._on_change = on_change
        self._started_at = clock.now()
        self._requested_at = LONG_AGO
        self._in_force: StoredConfiguration | None = None
        # Read at the start and not used before the leader has told whether a newer one is in force.
        self._pending: tuple[StoredConfiguration, str, int] | None = None
        links.add_handler(ConfigurationRequest, self._handle_request)
        links.add_handler(ConfigurationContent, self._handle_content)
        links.add_handler(ConfigurationUpdate, self._handle_update)

    @property
    def routes(self) -> RouteTable | None:
        """The routes in force; None before the first configuration is known."""
        return self._in_force.routes if self._in_force is not None else None

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0 if there is none."""
        return self._in_force.routes.version if self._in_force is not None else 0

    def handle_read(self, configuration: StoredConfiguration, row_version: int) -> None:
        """Use a configuration that was read from a row of the store, unless it is older."""
        source = f"read in generation {generation_of(row_version)} of the store"
        if self._in_force is None:
            self._pending = configuration, source, row_version
            self.use_pending_if_due()
        else:
            self._use(configuration, source, row_version)

    def use_pending_if_due(self) -> None:
        """Use what was read at the start if no leader is there to announce a newer one."""
        age = self._clock.now() - self._started_at
        if age >= LEADER_ANNOUNCEMENT_TIMEOUT or not self._may_leader_announce():
            self._use_pending()

    def handle_announcement(self, leader: str, version: int, *, is_stored: bool) -> None:
        """Handle the leader's announcement of the version that it has in force.

        Parameters
        ----------
        leader : str
        version : int
        is_stored : bool
            Whether the store may hold something that this instance hasn't read yet.
        """
        pending_version = self._pending[0].routes.version if self._pending is not None else 0
        if max(self.version, pending_version) >= version:
            self._use_pending()
            return
        now = self._clock.now()
        if not is_stored and now - self._requested_at >= REQUEST_INTERVAL:
            self._requested_at = now
            _log.warning(
                "the store holds no configuration above {}, and the leader has {}: requesting it",
                max(self.version, pending_version),
                version,
            )
            self._links.send(leader, ConfigurationRequest(max(self.version, pending_version)))

    def update_followers(self) -> None:
        """Send the configuration to the instances that don't have it, as the leader."""
        self._sender.update_followers()

    def forget_peers(self) -> None:
        """Assume nothing of the configurations of the other instances, as a new leader."""
        self._sender.forget_peers()

    def _use_pending(self) -> None:
        if self._pending is not None:
            pending, self._pending = self._pending, None
            self._use(*pending)

    def _use(self, configuration: StoredConfiguration, source: str, row_version: int = 0) -> None:
        version = configuration.routes.version
        is_same = self._in_force is not None and self._in_force.content == configuration.content
        if row_version and (version > self.version or is_same):
            self._sender.use(row_version, version, configuration.content)
        if self._in_force is not None and version <= self.version:
            if version < self.version:
                _log.warning(
                    "configuration {}, {}, is older than {} and not used",
                    version,
                    source,
                    self.version,
                )
            return
        _log.info("configuration {} is in force, {}", version, source)
        self._in_force = configuration
        self._on_change()

    def _handle_request(self, peer: str, request: ConfigurationRequest) -> None:
        known = self._in_force
        if known is None or known.routes.version <= request.known_version:
            return
        if len(known.content) <= MAX_CONTENT_BYTES:
            self._links.send(peer, ConfigurationContent(known.content))
            return
        changes = pack_changes(b"", known.content)
        if len(changes) > MAX_CONTENT_BYTES:
            _log.warning("configuration {} is too long to be passed on", known.routes.version)
            return
        self._links.send(peer, ConfigurationUpdate(0, known.routes.version, b"", changes))

    def _handle_update(self, peer: str, update: ConfigurationUpdate) -> None:
        """Use the leader's configuration; without success, its announcement leads to a read."""
        if update.version > self.version:
            former = self._in_force.content if self._in_force and update.former_digest else b""
            if digest_of(former) != update.former_digest:
                _log.info(
                    "configuration {} changes another one than {}", update.version, self.version
                )
                return
            try:
                content = apply_changes(former, update.changes)
            except ValueError as e:
                _log.warning("configuration {} from {} is unusable: {}", update.version, peer, e)
                return
            configuration = self._decode(content)
            if configuration is None:
                return
            self._use(configuration, f"received from {peer}", update.row_version)
            self._use_pending()
        self._on_row_known(update.row_version)

    def _handle_content(self, peer: str, message: ConfigurationContent) -> None:
        configuration = self._decode(message.content)
        if configuration is not None:
            self._use(configuration, f"received from {peer}")
            self._use_pending()
