"""Decoder of the upstream registrations in the platform's store."""

from collections.abc import Iterable
from typing import Any

import logbook
import msgspec
from twisted.internet.abstract import isIPAddress

from ..clocks.duration_text import parse_duration
from ..fleet import Upstream, UpstreamIncarnation

__all__ = ["UPSTREAM_TABLE", "decode_upstream", "decode_upstreams"]

UPSTREAM_TABLE = "servers"
# Whether an upstream is draining, by the state in its registration.
IS_DRAINING_BY_STATE = {"ready": False, "draining": True}

_log = logbook.Logger("laburnumhatch.platform")


class _Registration(msgspec.Struct):
    service: str
    address: str
    # Data centre of the upstream.
    zone: str
    # Requests that the upstream runs at the same time.
    slots: int
    state: str
    # Remaining time for which the upstream is slow after its start, as of its last report.
    warmup_left: str
    # Report number; it differs between reports and carries no other information.
    sequence: int
    # Start time of the upstream, in Unix milliseconds.
    born: int | None = None


_decoder = msgspec.json.Decoder(_Registration)


def decode_upstream(name: str, content: bytes) -> Upstream:
    """Return the upstream that a registration describes.

    Raises
    ------
    ValueError
        If the registration is malformed or a field has an invalid value.
    """
    try:
        registration = _decoder.decode(content)
    except (msgspec.MsgspecError, UnicodeDecodeError) as e:
        raise ValueError(str(e)) from e
    if registration.state not in IS_DRAINING_BY_STATE:
        raise ValueError(f"state {registration.state!r} is unknown")
    if registration.slots < 1:
        raise ValueError(f"{registration.slots} slots are too few, at least 1 is required")
    host, _, port = registration.address.rpartition(":")
    if not isIPAddress(host) or not port.isdigit() or not 0 < int(port) < 65_536:
        raise ValueError(f"address {registration.address!r} is not an IP address and a port")
    return Upstream(
        incarnation=UpstreamIncarnation(name, registration.born or 0),
        service=registration.service,
        host=host,
        port=int(port),
        data_centre=registration.zone,
        slots=registration.slots,
        is_draining=IS_DRAINING_BY_STATE[registration.state],
        warmup_remaining=parse_duration(registration.warmup_left),
    )


def decode_upstreams(rows: Iterable[Any], known_errors: dict[str, str]) -> list[Upstream]:
    """Return the upstreams of all valid registrations, and log the invalid ones.

    Parameters
    ----------
    rows : iterable of StoredRow
    known_errors : dict of str to str
        Reason for each upstream whose registration was invalid at the previous call. The function
        updates the mapping, so that an unchanged error is logged only once.
    """
    upstreams = []
    errors = {}
    for row in rows:
        try:
            upstreams.append(decode_upstream(row.key, row.value))
        except ValueError as e:
            errors[row.key] = str(e)
            if known_errors.get(row.key) != str(e):
                _log.warning("ignoring the invalid registration of upstream {}: {}", row.key, e)
    known_errors.clear()
    known_errors.update(errors)
    return upstreams
