"""Tracer provider, and a span exporter that writes JSON lines from the event loop."""

import json
from collections import deque
from collections.abc import Sequence
from datetime import timedelta
from typing import Any, TextIO

from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import SimpleSpanProcessor, SpanExporter, SpanExportResult
from opentelemetry.sdk.trace.sampling import ParentBased, TraceIdRatioBased

from ..clocks import Clock

__all__ = ["JsonLineExporter", "build_tracer_provider"]

FLUSH_INTERVAL = timedelta(seconds=1)
MAX_BUFFERED_SPANS = 10_000


class JsonLineExporter(SpanExporter):
    """Span exporter that buffers spans and writes them from the event loop.

    Parameters
    ----------
    stream : text file
    clock : Clock

    Attributes
    ----------
    dropped_count : int
        Number of spans that were dropped because the buffer was full.
    """

    def __init__(self, stream: TextIO, clock: Clock) -> None:
        self._stream = stream
        self._clock = clock
        self._buffer: deque[ReadableSpan] = deque()
        self._is_flush_scheduled = False
        self.dropped_count = 0

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Buffer ended spans until the next flush."""
        for span in spans:
            if len(self._buffer) >= MAX_BUFFERED_SPANS:
                self.dropped_count += 1
                continue
            self._buffer.append(span)
        if not self._is_flush_scheduled:
            self._is_flush_scheduled = True
            self._clock.call_later(FLUSH_INTERVAL, self._run_scheduled_flush)
        return SpanExportResult.SUCCESS

    def force_flush(self, timeout_millis: int = 0) -> bool:
        """Write all buffered spans."""
        while self._buffer:
            self._stream.write(json.dumps(_encode_span(self._buffer.popleft())) + "\n")
        self._stream.flush()
        return True

    def shutdown(self) -> None:
        """Write the remaining spans."""
        self.force_flush()

    def _run_scheduled_flush(self) -> None:
        self._is_flush_scheduled = False
        self.force_flush()


def build_tracer_provider(
    instance: str, data_centre: str, sampling_ratio: float, exporter: SpanExporter | None
) -> TracerProvider:
    """Return a tracer provider that records a share of the traces.

    Parameters
    ----------
    instance, data_centre : str
        Resource attributes of every span.
    sampling_ratio : float
        Share of the traces started by this instance that are recorded. A span with a parent
        follows the sampling decision of its parent.
    exporter : SpanExporter or None
        If None, no span is recorded, but trace identifiers are still propagated.
    """
    sampler = ParentBased(TraceIdRatioBased(sampling_ratio if exporter is not None else 0.0))
    resource = Resource({"service.instance.id": instance, "data_centre": data_centre})
    provider = TracerProvider(sampler=sampler, resource=resource, shutdown_on_exit=False)
    if exporter is not None:
        provider.add_span_processor(SimpleSpanProcessor(exporter))
    return provider


def _encode_span(span: ReadableSpan) -> dict[str, Any]:
    context = span.get_span_context()
    parent = span.parent
    return {
        "trace": f"{context.trace_id:032x}" if context else "",
        "span": f"{context.span_id:016x}" if context else "",
        "parent": f"{parent.span_id:016x}" if parent else None,
        "name": span.name,
        "kind": span.kind.name.lower(),
        "start_ns": span.start_time,
        "end_ns": span.end_time,
        "status": span.status.status_code.name.lower(),
        "attributes": dict(span.attributes or {}),
        "resource": dict(span.resource.attributes),
    }
