"""Decoder of the upstream registrations in the platform's store."""

import re
from collections.abc import Iterable
from datetime import timedelta
from typing import Annotated, Any

import logbook
import msgspec
from twisted.internet.abstract import isIPAddress

from ..clocks.duration_text import parse_duration
from ..documents import decode_document
from ..fleet import Upstream, UpstreamIncarnation

__all__ = ["UPSTREAM_TABLE", "decode_upstream", "decode_upstreams"]

UPSTREAM_TABLE = "servers"
# Whether an upstream is draining, by the state in its registration.
IS_DRAINING_BY_STATE = {"ready": False, "draining": True}

# Largest values that are taken for what they say; streams between instances carry 64 bits.
MAX_SLOTS = 1_000_000
MAX_STARTED_AT_MS = 2**53
MAX_WARMUP = timedelta(days=1)
MAX_TEXT_LENGTH = 200
# The name of an upstream is the value of a header field.
_UPSTREAM_NAME = re.compile(r"[!-~]{1,200}")
_PORT = re.compile(r"[0-9]{1,5}")
_Name = Annotated[str, msgspec.Meta(max_length=MAX_TEXT_LENGTH)]

_log = logbook.Logger("laburnumhatch.platform")


class _Registration(msgspec.Struct):
    service: _Name
    address: _Name
    # Data centre of the upstream.
    zone: _Name
    # Requests that the upstream runs at the same time.
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    state: str
    # Remaining time for which the upstream is slow after its start, as of its last report.
    warmup_left: str
    # Report number; it differs between reports and carries no other information.
    sequence: int
    # Start time of the upstream, in Unix milliseconds.
    born: Annotated[int, msgspec.Meta(ge=0, le=MAX_STARTED_AT_MS)] | None = None


_decoder = msgspec.json.Decoder(_Registration)


def decode_upstream(name: str, content: bytes) -> Upstream:
    """Return the upstream that a registration describes.

    Raises
    ------
    ValueError
        If the registration is malformed or a field has an invalid value.
    """
    if not _UPSTREAM_NAME.fullmatch(name):
        raise ValueError(f"{name[:MAX_TEXT_LENGTH]!r} is no name of an upstream")
    registration = decode_document(_decoder.decode, content)
    if registration.state not in IS_DRAINING_BY_STATE:
        raise ValueError(f"state {registration.state!r} is unknown")
    warmup_remaining = parse_duration(registration.warmup_left)
    if warmup_remaining > MAX_WARMUP:
        raise ValueError(f"a warm-up of {warmup_remaining} is too long")
    host, _, port = registration.address.rpartition(":")
    if not isIPAddress(host) or not _PORT.fullmatch(port) or not 0 < int(port) < 65_536:
        raise ValueError(f"address {registration.address!r} is not an IP address and a port")
    return Upstream(
        incarnation=UpstreamIncarnation(name, registration.born or 0),
        service=registration.service,
        host=host,
        port=int(port),
        data_centre=registration.zone,
        slots=registration.slots,
        is_draining=IS_DRAINING_BY_STATE[registration.state],
        warmup_remaining=warmup_remaining,
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
