"""Tests of the rate-limited log of refusals."""

import logbook

from ...results import Refusal, ResultCode
from ..refusal_log import INTERVAL, MAX_LINES_PER_INTERVAL, build_refusal_log

REFUSAL = Refusal(ResultCode.QUEUE_FULL, "64 wait")


def test_lines_carry_trace_and_code_and_are_bounded(clock):
    log_refusal = build_refusal_log(clock)
    with logbook.TestHandler() as handler:
        for _ in range(MAX_LINES_PER_INTERVAL + 3):
            log_refusal(REFUSAL, "ab" * 16, "r-1", "lofts", "view")
        assert len(handler.records) == MAX_LINES_PER_INTERVAL
        clock.advance(INTERVAL)
        log_refusal(REFUSAL, "ab" * 16, "r-2", "lofts", "view")
    fields = handler.records[-1].extra
    assert (fields["trace"], fields["code"], fields["run"]) == ("ab" * 16, 203, "no")
    assert (fields["request"], fields["left_out"]) == ("r-2", 3)
