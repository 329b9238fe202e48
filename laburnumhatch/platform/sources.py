"""Readers of the upstream registrations and of the configuration."""

from typing import Any

import logbook

from ..coordination.reader import Sources
from ..coordination.store import NotExecuted, RowsRead, Unanswered
from ..fleet import RouteTable, Upstream
from .configuration import (
    CONFIGURATION_KEY,
    CONFIGURATION_TABLE,
    DocumentInvalid,
    decode_configuration,
)
from .store import PlatformStore
from .upstreams import UPSTREAM_TABLE, decode_upstreams

__all__ = ["platform_sources"]

_log = logbook.Logger("laburnumhatch.platform")


def platform_sources(store: PlatformStore) -> Sources:
    """Return the readers of the platform's registry and configuration.

    Notes
    -----
    An invalid registration or version of the configuration is logged once, not at every read.
    """
    known_errors: dict[str, str] = {}
    logged_versions: set[int] = set()

    async def read_upstreams() -> list[Upstream] | NotExecuted | Unanswered:
        found = await store.read(UPSTREAM_TABLE)
        if not isinstance(found, RowsRead):
            return found
        return decode_upstreams(found.rows, known_errors)

    async def read_configuration(known: int) -> Any:
        found = await store.read_row(CONFIGURATION_TABLE, CONFIGURATION_KEY)
        if not isinstance(found, RowsRead):
            return found
        if not found.rows:
            return known, None
        row = found.rows[0]
        if row.version <= known:
            return known, None
        return row.version, decode_logged(row.version, row.value)

    def decode_logged(version: int, content: bytes) -> RouteTable | None:
        try:
            return decode_configuration(content)
        except DocumentInvalid as e:
            if version not in logged_versions:
                logged_versions.add(version)
                _log.error("the configuration is invalid, the previous one stays in force: {}", e)
            return None

    return Sources(read_upstreams, read_configuration)
