"""Tests of the structured logs."""

import io
import json

import logbook

from ..logs import JsonLineHandler


def test_a_line_holds_the_instance_and_the_extra_fields():
    stream = io.StringIO()
    with JsonLineHandler(stream, "entry-1"):
        log = logbook.Logger("requests")
        log.warning("refused {}", "it", extra={"trace": "ab", "code": 301})
        log.debug("not written")
    line = json.loads(stream.getvalue())
    assert (line["instance"], line["trace"], line["code"]) == ("entry-1", "ab", 301)
    assert (line["message"], line["level"]) == ("refused it", "warning")
