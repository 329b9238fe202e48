"""Readers of the upstream registrations, of the configuration and of the evacuations."""

import logbook

from ..coordination.reader import ConfigurationRead, Sources
from ..coordination.shared_configuration import StoredConfiguration
from ..coordination.store import NotExecuted, RowsRead, Unanswered
from ..fleet import Upstream
from .configuration import (
    CONFIGURATION_KEY,
    CONFIGURATION_TABLE,
    DocumentInvalid,
    configuration_decoder,
)
from .evacuations import decode_evacuations
from .store import PlatformStore
from .upstreams import UPSTREAM_TABLE, decode_upstreams

__all__ = ["platform_sources"]

_log = logbook.Logger("laburnumhatch.platform")


def platform_sources(store: PlatformStore) -> Sources:
    """Return the readers of the platform's registry and configuration.

    Notes
    -----
    An invalid registration is logged once, not at every read, and an invalid configuration once for
    each version of its row. The evacuations are in the same table and read with it.
    """
    known_errors: dict[str, str] = {}
    known_evacuation_errors: dict[str, str] = {}
    decode_configuration = configuration_decoder()

    async def read_upstreams() -> list[Upstream] | NotExecuted | Unanswered:
        found = await store.read(UPSTREAM_TABLE)
        if not isinstance(found, RowsRead):
            return found
        return decode_upstreams(found.rows, known_errors)

    async def read_configuration(
        known: int,
    ) -> ConfigurationRead | NotExecuted | Unanswered:
        found = await store.read(CONFIGURATION_TABLE, skips_invalid_rows=True)
        if not isinstance(found, RowsRead):
            return found
        evacuated = decode_evacuations(found.rows, known_evacuation_errors)
        for row in found.rows:
            if row.key == CONFIGURATION_KEY and row.version > known:
                return ConfigurationRead(row.version, decode_logged(row.value), evacuated)
        return ConfigurationRead(known, None, evacuated)

    def decode_logged(content: bytes) -> StoredConfiguration | None:
        try:
            return StoredConfiguration(decode_configuration(content), content)
        except DocumentInvalid as e:
            _log.error("the configuration is invalid, the previous one stays in force: {}", e)
            return None

    return Sources(read_upstreams, read_configuration, decode_logged)
