"""Registrations of upstreams in the platform's store."""

from collections.abc import Iterable
from typing import Any

import logbook
import msgspec
from twisted.internet.abstract import isIPAddress

from ..clocks.duration_text import parse_duration
from ..fleet import Upstream, UpstreamLife

__all__ = ["UPSTREAM_TABLE", "decode_upstream", "decode_upstreams"]

UPSTREAM_TABLE = "servers"
STATES = {"ready": False, "draining": True}

_log = logbook.Logger("laburnumhatch.platform")


class _Registration(msgspec.Struct):
    service: str
    address: str
    zone: str
    slots: int
    state: str
    # How much longer the upstream is slow, as of its last report.
    warmup_left: str
    # Number of the report; it changes with each one and says nothing else.
    sequence: int
    # Unix milliseconds of the upstream's start.
    born: int | None = None


_decoder = msgspec.json.Decoder(_Registration)


def decode_upstream(name: str, content: bytes) -> Upstream:
    """Return the upstream of one registration.

    Raises
    ------
    ValueError
        If it names no upstream that can be used.
    """
    try:
        found = _decoder.decode(content)
    except (msgspec.MsgspecError, UnicodeDecodeError) as e:
        raise ValueError(str(e)) from e
    if found.state not in STATES:
        raise ValueError(f"state {found.state!r} is not known")
    if found.slots < 1:
        raise ValueError(f"{found.slots} slots")
    host, _, port = found.address.rpartition(":")
    if not isIPAddress(host) or not port.isdigit() or not 0 < int(port) < 65_536:
        raise ValueError(f"address {found.address!r} is not an IP number and a port")
    return Upstream(
        life=UpstreamLife(name, found.born or 0),
        service=found.service,
        host=host,
        port=int(port),
        data_centre=found.zone,
        slots=found.slots,
        is_draining=STATES[found.state],
        slow_for=parse_duration(found.warmup_left),
    )


def decode_upstreams(rows: Iterable[Any], invalid: dict[str, str]) -> list[Upstream]:
    """Return the upstreams of the registrations that can be read.

    Parameters
    ----------
    rows : iterable of StoredRow
    invalid : dict of str to str
        The names whose registration could not be read, with the reason; brought up to date here,
        so that each is logged once.
    """
    found = []
    broken = {}
    for row in rows:
        try:
            found.append(decode_upstream(row.key, row.value))
        except ValueError as e:
            broken[row.key] = str(e)
            if invalid.get(row.key) != str(e):
                _log.warning("registration of upstream {} is ignored: {}", row.key, e)
    invalid.clear()
    invalid.update(broken)
    return found
