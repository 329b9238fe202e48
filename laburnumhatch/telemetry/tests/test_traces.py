"""Tests of the traces."""

import io
import json

from opentelemetry.trace import SpanKind

from ..traces import FLUSH_INTERVAL, JsonLineExporter, build_tracer_provider


def test_spans_are_written_after_the_flush_interval(clock):
    stream = io.StringIO()
    provider = build_tracer_provider("entry-1", "lade", 1.0, JsonLineExporter(stream, clock))
    tracer = provider.get_tracer("test")
    with (
        tracer.start_as_current_span("request", kind=SpanKind.SERVER),
        tracer.start_as_current_span("attempt", kind=SpanKind.CLIENT),
    ):
        pass
    assert stream.getvalue() == ""
    clock.advance(FLUSH_INTERVAL)
    attempt, request = (json.loads(line) for line in stream.getvalue().splitlines())
    assert attempt["parent"] == request["span"]
    assert attempt["trace"] == request["trace"]
    assert request["resource"]["data_centre"] == "lade"


def test_spans_are_valid_but_not_recorded_without_an_exporter():
    provider = build_tracer_provider("entry-1", "lade", 1.0, None)
    span = provider.get_tracer("test").start_span("request")
    assert not span.is_recording()
    assert span.get_span_context().is_valid
