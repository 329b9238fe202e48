"""Trace spans of the request path."""

from typing import Any

from opentelemetry import trace
from opentelemetry.context import Context
from opentelemetry.trace import Span, SpanKind, Tracer
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator
from twisted.web.http_headers import Headers

__all__ = ["end_span", "inject_context", "start_call_span", "start_request_span", "trace_id_of"]

_propagator = TraceContextTextMapPropagator()
_EMPTY = Context()


class _HeaderGetter:
    """Getter of header fields for the propagator."""

    def get(self, carrier: Headers, key: str) -> list[str] | None:
        values = carrier.getRawHeaders(key.encode())
        return None if values is None else [value.decode("latin-1") for value in values]

    def keys(self, carrier: Headers) -> list[str]:
        return [name.decode("latin-1") for name, _ in carrier.getAllRawHeaders()]


class _HeaderSetter:
    """Setter of header fields for the propagator."""

    def set(self, carrier: Headers, key: str, value: str) -> None:
        carrier.setRawHeaders(key.encode(), [value.encode("latin-1")])


_getter: Any = _HeaderGetter()
_setter: Any = _HeaderSetter()


def start_request_span(tracer: Tracer, headers: Headers) -> Span:
    """Start the span of a caller's request, as a child of its ``traceparent`` if it has one [1]_.

    References
    ----------
    .. [1] W3C Recommendation, Trace Context.
    """
    context = _EMPTY
    if headers.hasHeader(b"traceparent"):
        context = _propagator.extract(headers, context, _getter)
    return tracer.start_span("request", context=context, kind=SpanKind.SERVER)


def start_call_span(tracer: Tracer, parent: Span, service: str, server: str) -> Span:
    """Start the span of one upstream call; return the parent itself if it is not recorded."""
    if not parent.is_recording():
        return parent
    attributes = {"service": service, "server": server}
    context = trace.set_span_in_context(parent, _EMPTY)
    return tracer.start_span(
        "upstream call", context=context, kind=SpanKind.CLIENT, attributes=attributes
    )


def inject_context(span: Span, headers: Headers) -> None:
    """Write the ``traceparent`` and ``tracestate`` fields of a span."""
    _propagator.inject(headers, trace.set_span_in_context(span, _EMPTY), _setter)


def end_span(span: Span, **attributes: str | int | bool) -> None:
    """Set the last attributes of a span and end it."""
    if span.is_recording():
        span.set_attributes(attributes)
    span.end()


def trace_id_of(span: Span) -> str:
    """Return the trace identifier as 32 hexadecimal digits."""
    return f"{span.get_span_context().trace_id:032x}"
