"""Tests of the encoding of rows."""

import msgpack
import pytest

from ...clocks import milliseconds
from ..row import GroupRow, InvalidRow, KeyOwner, MoveRecord, decode_row, encode_row


def test_row_round_trips_through_encoding():
    row = GroupRow(
        version=7,
        coordinator="lade-1/ab",
        standbys=("byasen-1/cd",),
        first_slot=4,
        servers=("loft-1", "loft-2"),
        owners=(0, 1, -1, 1),
        epochs=(1, 7, 3, 3),
        keys=(KeyOwner(2**64 - 1, 7, 1, 6),),
        pending_versions=(6, 7),
        takeover_wait=milliseconds(1500),
        history=(MoveRecord(5, None, "loft-1", "loft-2", 7, "loft-1 is leaving"),),
        writer="lade-1/ab/9",
    )
    assert decode_row(encode_row(row), 7, "lade-1/ab/9") == row


@pytest.mark.parametrize("value", [b"", b"\xc1", b"plain text", msgpack.packb({"format": 9})])
def test_invalid_bytes_raise_invalid_row(value):
    with pytest.raises(InvalidRow):
        decode_row(value, 1, "")
