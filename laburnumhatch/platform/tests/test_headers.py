"""Values of header fields are validated; invalid ones count as missing."""

from datetime import timedelta

import pytest

from ..headers import (
    LEAVING,
    is_leaving,
    parse_remaining_warmup,
    parse_request_limit,
    parse_retry_after,
    parse_server_load,
)


@pytest.mark.parametrize("value, limit", [(b"6", 6.0), (b"5.625", 5.625), (b" 0 ", 0.0)])
def test_decimal_limit_is_parsed(value, limit):
    assert parse_request_limit(value) == limit


@pytest.mark.parametrize(
    "value", [None, b"", b"-1", b"nan", b"inf", b"1e3", b"6 7", b"9" * 400, b"1.", b"\xff"]
)
def test_invalid_limit_counts_as_none(value):
    assert parse_request_limit(value) is None


@pytest.mark.parametrize(
    "value, seconds", [(b"2", 2.0), (b"0.25", 0.25), (b"99999999", 60.0), (b"60", 60.0)]
)
def test_pause_is_parsed_and_bounded(value, seconds):
    assert parse_retry_after(value) == timedelta(seconds=seconds)


@pytest.mark.parametrize("value", [None, b"", b"0", b"-1", b"nan", b"tomorrow", b"9" * 20])
def test_invalid_pause_counts_as_none(value):
    assert parse_retry_after(value) is None


@pytest.mark.parametrize("value, expected", [(b"1", True), (b" 1 ", True), (b"0", False)])
def test_upstream_leaves_if_its_answer_says_so(value, expected):
    assert is_leaving([(LEAVING, value)]) is expected
    assert not is_leaving([])


@pytest.mark.parametrize(
    ("value", "load"),
    [
        (b"3,2,4", (3, 2, 4, None, True)),
        (b" 3, 2, 4, 250 ", (3, 2, 4, 2.5, True)),
        (b"3,2,4,0", (3, 2, 4, None, False)),
        (b"3,2,4,10001", (3, 2, 4, None, False)),
        (b"3,-2,4,100", (3, None, 4, 1.0, False)),
        (b"1000001,2,4", (None, 2, 4, None, False)),
        (b"many", (None, None, None, None, False)),
        (b"1,2,3,4,5", (None, None, None, None, False)),
        (b"", (None, None, None, None, False)),
    ],
)
def test_invalid_figures_of_a_load_are_left_out_and_the_rest_is_used(value, load):
    assert parse_server_load(value) == load


def test_requests_at_an_upstream_are_known_if_both_counts_are():
    assert parse_server_load(b"3,2,4").in_flight == 5
    assert parse_server_load(b"3,x,4").in_flight is None
    assert parse_server_load(None) is None


@pytest.mark.parametrize(
    ("value", "seconds"), [(b"1500", 1.5), (b"0", 0.0), (b"86400001", None), (b"-1", None)]
)
def test_rest_of_a_warmup_is_at_most_a_day(value, seconds):
    expected = timedelta(seconds=seconds) if seconds is not None else None
    assert parse_remaining_warmup(value) == expected
