"""Claims of idempotency keys, stored in the platform's table."""

import json
from dataclasses import asdict, dataclass
from enum import StrEnum
from typing import Any

import xxhash

from ..results import Refusal, ResultCode, RunStatus
from ..storage import Absent, Conflict, OutcomeUnknown, Row, Table, Written

__all__ = ["Claim", "ClaimState", "HeldClaim", "claim_request", "claim_row_key", "settle_claim"]

MAX_WRITE_ATTEMPTS = 3
ROW_PREFIX = "claims"


class ClaimState(StrEnum):
    """Known state of the request that claimed an idempotency key."""

    CLAIMED = "claimed"
    ANSWERED = "answered"
    NOT_RUN = "not run"


@dataclass(frozen=True, slots=True)
class Claim:
    """Value of a claim's table row, stored as JSON under its field names.

    Attributes
    ----------
    fingerprint : str
        Digest of the request's method, path and body.
    request_id : str
        Request that holds the claim; also the writer identifier of the claiming write.
    state : ClaimState
    status : int or None
        HTTP status of the answer, if any.
    """

    fingerprint: str
    request_id: str
    state: ClaimState
    status: int | None = None


@dataclass(frozen=True, slots=True)
class HeldClaim:
    """Claim that this instance holds, with the version of its row."""

    row_key: str
    version: int
    claim: Claim


def claim_row_key(service: str, kind: str, idempotency_key: str) -> str:
    """Return the table key of a claim, which is specific to one service and kind.

    Examples
    --------
    >>> claim_row_key("till", "deposit", "a") == claim_row_key("till", "order", "a")
    False
    """
    digest = xxhash.xxh3_128_hexdigest(idempotency_key.encode())
    return f"{ROW_PREFIX}/{service}/{kind}/{digest}"


async def claim_request(
    table: Table, row_key: str, fingerprint: str, request_id: str
) -> HeldClaim | Refusal:
    """Claim an idempotency key before the request is sent.

    Parameters
    ----------
    table : Table
    row_key : str
        Key of the claim's row, from `claim_row_key`.
    fingerprint : str
    request_id : str

    Returns
    -------
    HeldClaim or Refusal
        A refusal states ``run: no`` only if no request with the key ran.

    Notes
    -----
    The claim is one conditional write. A write with an unknown outcome may still take effect later,
    so it is repeated with the same writer identifier until the table shows who holds the row; a
    conflict with a row written by this same request counts as success. If the holder can't be
    determined, the request is not sent, and the claim that may have been written blocks other
    requests with this key.
    """
    claim = Claim(fingerprint, request_id, ClaimState.CLAIMED)
    expected_version = 0
    for _ in range(MAX_WRITE_ATTEMPTS):
        result = await table.write(row_key, _encode(claim), expected_version, request_id)
        match result:
            case Written(version):
                return HeldClaim(row_key, version, claim)
            case Conflict(Row(_, version, writer, _)) if writer == request_id:
                return HeldClaim(row_key, version, claim)
            case Conflict(Row() as row):
                existing = _decode(row.value)
                if not _may_be_taken_over(existing, fingerprint):
                    return _existing_claim_refusal(existing, fingerprint)
                expected_version = row.version
            case Conflict(None):
                expected_version = 0
            case OutcomeUnknown():
                resolved = await _read_back(table, row_key, claim)
                if resolved is not None:
                    return resolved
            case _:
                return _unavailable_refusal()
    return _unavailable_refusal()


async def settle_claim(
    table: Table, held: HeldClaim, state: ClaimState, status: int | None
) -> None:
    """Write the final state of a claimed request.

    A failed write is not retried: the claim then stays ``claimed``, so that a request with the same
    key is refused with ``run: unknown``, which is correct.
    """
    claim = Claim(held.claim.fingerprint, held.claim.request_id, state, status)
    writer = f"{held.claim.request_id}/settle"
    await table.write(held.row_key, _encode(claim), held.version, writer)


async def _read_back(table: Table, row_key: str, claim: Claim) -> HeldClaim | Refusal | None:
    row = await table.read(row_key)
    if isinstance(row, Absent) or not isinstance(row, Row):
        return None
    if row.writer == claim.request_id:
        return HeldClaim(row_key, row.version, claim)
    existing = _decode(row.value)
    if _may_be_taken_over(existing, claim.fingerprint):
        return None
    return _existing_claim_refusal(existing, claim.fingerprint)


def _may_be_taken_over(existing: Claim, fingerprint: str) -> bool:
    return existing.state is ClaimState.NOT_RUN and existing.fingerprint == fingerprint


def _existing_claim_refusal(existing: Claim, fingerprint: str) -> Refusal:
    if existing.fingerprint != fingerprint:
        detail = "the idempotency key belongs to a different request"
        return Refusal(ResultCode.IDEMPOTENCY_KEY_IN_USE, detail, run=RunStatus.NO)
    if existing.state is ClaimState.ANSWERED:
        detail = f"request {existing.request_id} with this key was answered {existing.status}"
        return Refusal(ResultCode.IDEMPOTENCY_KEY_IN_USE, detail, run=RunStatus.YES)
    detail = f"request {existing.request_id} with this key was sent, its result is not known"
    return Refusal(ResultCode.IDEMPOTENCY_KEY_IN_USE, detail, run=RunStatus.UNKNOWN)


def _unavailable_refusal() -> Refusal:
    detail = "the table that holds idempotency keys does not answer"
    return Refusal(ResultCode.CLAIM_UNAVAILABLE, detail)


def _encode(claim: Claim) -> bytes:
    return json.dumps(asdict(claim)).encode()


def _decode(value: bytes) -> Claim:
    fields: dict[str, Any] = json.loads(value)
    return Claim(
        fields["fingerprint"], fields["request_id"], ClaimState(fields["state"]), fields["status"]
    )
