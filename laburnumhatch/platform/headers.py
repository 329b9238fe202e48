"""Header fields of the platform's callers and upstreams, with names in lower case."""

import re
from collections.abc import Iterable
from datetime import timedelta
from typing import NamedTuple

__all__ = [
    "ATTEMPT_ID",
    "DEADLINE",
    "EXPECTED_UPSTREAM",
    "HANDOVER",
    "KEY",
    "LEAVING",
    "MISDIRECTED",
    "NOT_RUN",
    "REQUEST_LIMIT",
    "RETRY_AFTER",
    "SEAL",
    "SERVER_LOAD",
    "STORE_GENERATION",
    "UPSTREAM_NAME",
    "WARMUP_LEFT",
    "Headers",
    "ServerLoad",
    "find_header",
    "is_leaving",
    "is_not_run",
    "parse_deadline_ms",
    "parse_key",
    "parse_request_limit",
    "parse_retry_after",
    "parse_server_load",
    "parse_store_generation",
    "parse_remaining_warmup",
]

Headers = Iterable[tuple[bytes, bytes]]

# Identifies one attempt of a caller. A caller that repeats its request sends another value.
ATTEMPT_ID = b"x-attempt-id"
# Milliseconds that the caller waits for the answer, counted from the time of sending.
DEADLINE = b"x-deadline-ms"
# Opaque proof that an answer comes from the upstream.
SEAL = b"x-response-seal"
# Name of the only upstream that is allowed to run the request.
EXPECTED_UPSTREAM = b"x-expect-instance"
# Requests a second, a decimal number, that an upstream in need takes from all instances together,
# for as long as its answers say so.
REQUEST_LIMIT = b"server-limit"
# Name of the upstream that answers a health check; the platform calls it an instance.
UPSTREAM_NAME = b"x-instance-id"
# Present with the value 1 in all answers of an upstream that is shutting down.
LEAVING = b"server-leaving"
# Seconds, possibly with a fraction, for which an upstream that declined a request wants no other
# from the same instance.
RETRY_AFTER = b"retry-after"
# Present in an answer if the upstream did not run the request.
NOT_RUN = b"x-not-executed"
# Key of the request, for services that are partitioned by key.
KEY = b"x-shard-key"
# Token that refers to the state that the previous owner of some keys leaves to the next owner.
HANDOVER = b"x-handover"
# Requests that an upstream runs and queues, its slots, and optionally how long work takes on its
# machine now, where 100 is usual: four whole numbers with commas between them.
SERVER_LOAD = b"x-server-load"
# Milliseconds that are left of an upstream's warm-up, in answers to health checks.
WARMUP_LEFT = b"x-warmup-ms"

# Number, in all answers of the store, that rises each time the store has come back from an older
# copy of itself.
STORE_GENERATION = b"store-era"

LAST_KEY = 65_535
# Largest generation that is taken for one.
MAX_STORE_GENERATION = 1_000_000
# Longest pause that an upstream is granted; a longer one may be an error of its.
MAX_RETRY_AFTER = timedelta(seconds=60)
# Largest limit that is taken for one, in requests per second. No upstream serves as many.
MAX_REQUEST_LIMIT = 1e6
# Largest figures that are taken for what they say.
MAX_LOAD_COUNT = 1_000_000
MAX_PACE = 10_000
USUAL_PACE = 100
MAX_WARMUP_MS = 24 * 3_600_000
# Status with which an upstream answers if it is not the expected one or doesn't hold the
# request's key.
MISDIRECTED = 421


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the value of the first field with a name in lower case, or None if there is none."""
    for found, value in headers:
        if found == name:
            return value
    return None


def is_not_run(status: int, headers: Headers) -> bool:
    """Return whether an answer states that the upstream did not run the request."""
    return status == MISDIRECTED or find_header(headers, NOT_RUN) is not None


def is_leaving(headers: Headers) -> bool:
    """Return whether an answer states that its upstream is shutting down."""
    value = find_header(headers, LEAVING)
    return value is not None and value.strip() == b"1"


def parse_deadline_ms(value: bytes | None) -> int | None:
    """Return the milliseconds that a caller waits, or None if the value is missing or invalid."""
    if value is None or not value.isdigit() or len(value) > 9:
        return None
    return int(value)


def parse_key(value: bytes | None) -> int | None:
    """Return the key of a request, 0 to 65535, or None if the value is missing or invalid."""
    if value is None or not value.isdigit() or len(value) > 5:
        return None
    key = int(value)
    return key if key <= LAST_KEY else None


_DECIMAL = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")


def parse_request_limit(value: bytes | None) -> float | None:
    """Return the requests a second that an upstream takes, or None without a valid limit."""
    if value is None or not _DECIMAL.fullmatch(value.strip()):
        return None
    limit = float(value)
    return limit if limit <= MAX_REQUEST_LIMIT else None


def parse_retry_after(value: bytes | None) -> timedelta | None:
    """Return for how long an upstream wants no request, at most `MAX_RETRY_AFTER`.

    Returns None if the value is missing, invalid or zero. An HTTP date counts as invalid, since the
    clocks may differ.
    """
    if value is None or not _DECIMAL.fullmatch(value.strip()):
        return None
    pause = min(timedelta(seconds=float(value)), MAX_RETRY_AFTER)
    return pause or None


class ServerLoad(NamedTuple):
    """Load that an upstream reports; each figure is None if it is missing or invalid.

    Attributes
    ----------
    running, waiting, slots : int or None
        Requests of all instances that the upstream runs and queues, and its slots.
    pace : float or None
        Time that work takes relative to the usual one.
    is_valid : bool
        Whether all figures that are present are valid.
    """

    running: int | None
    waiting: int | None
    slots: int | None
    pace: float | None
    is_valid: bool

    @property
    def in_flight(self) -> int | None:
        """Requests at the upstream, or None unless both counts are known."""
        if self.running is None or self.waiting is None:
            return None
        return self.running + self.waiting


def parse_server_load(value: bytes | None) -> ServerLoad | None:
    """Return the load that an upstream reports, without invalid figures; None without a report."""
    if value is None:
        return None
    parts = value.split(b",")
    if len(parts) not in (3, 4):
        return ServerLoad(None, None, None, None, False)
    running, waiting, slots = (_parse_count(part, MAX_LOAD_COUNT) for part in parts[:3])
    pace = _parse_count(parts[3], MAX_PACE) if len(parts) == 4 else None
    is_valid = None not in (running, waiting, slots) and (len(parts) == 3 or bool(pace))
    return ServerLoad(running, waiting, slots, pace / USUAL_PACE if pace else None, is_valid)


def _parse_count(text: bytes, maximum: int) -> int | None:
    text = text.strip()
    if not text.isdigit() or len(text) > 9:
        return None
    count = int(text)
    return count if count <= maximum else None


def parse_remaining_warmup(value: bytes | None) -> timedelta | None:
    """Return the rest of an upstream's warm-up, or None if the value is missing or invalid."""
    if value is None:
        return None
    milliseconds = _parse_count(value, MAX_WARMUP_MS)
    return timedelta(milliseconds=milliseconds) if milliseconds is not None else None


def parse_store_generation(value: bytes | None) -> int | None:
    """Return the store's generation, or None if the value is missing or invalid."""
    if value is None or not value.strip().isdigit() or len(value) > 9:
        return None
    generation = int(value)
    return generation if generation <= MAX_STORE_GENERATION else None
