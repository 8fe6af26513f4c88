"""Tracer that records spans with the SDK of OpenTelemetry."""

import sys
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path
from typing import TextIO

import xxhash
from opentelemetry import trace
from opentelemetry.context import Context
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import BatchSpanProcessor, ConsoleSpanExporter

from .errors import StorageError
from .tracer import Span, Tracer, flow_key, flow_sampler


class OpenTelemetrySpan(Span):
    """A span of the OpenTelemetry SDK."""

    def __init__(self, span: trace.Span) -> None:
        self._span = span

    def set_attribute(self, key: str, value: str | int) -> None:
        """Set an attribute of the span."""
        self._span.set_attribute(key, value)


class OpenTelemetryTracer(Tracer):
    """Writes spans to a file or to standard output, in another thread.

    Args:
        trace_file: File for one JSON object per line; None for standard output.
        ratio: Fraction of the flows to record.
        instance: Name of this instance.

    Raises:
        StorageError: The file can't be opened.
    """

    def __init__(self, trace_file: Path | None, ratio: float, instance: str) -> None:
        self._stack = ExitStack()
        self._ratio = ratio
        out = sys.stdout
        if trace_file is not None:
            out = self._stack.enter_context(_open(trace_file))
        exporter = ConsoleSpanExporter(out=out, formatter=_as_line)
        resource = Resource({"service.name": "arbutusliftd", "instance": instance})
        provider = TracerProvider(resource=resource, shutdown_on_exit=False)
        provider.add_span_processor(BatchSpanProcessor(exporter))
        self._stack.callback(provider.shutdown)
        self._tracer = provider.get_tracer("arbutuslift")

    def sampler(self) -> Callable[[bytes], bool]:
        """Return a predicate that is true for packets of traced flows."""
        return flow_sampler(self._ratio)

    @contextmanager
    def packet_span(self, name: str, data: bytes) -> Iterator[Span]:
        """Record the first span of a packet at this instance."""
        with self._start(name, _context_of(flow_key(data))) as span:
            yield span

    @contextmanager
    def span(self, name: str) -> Iterator[Span]:
        """Record a child span of the current one."""
        with self._start(name, None) as span:
            yield span

    @contextmanager
    def change_span(self, name: str, request_id: str) -> Iterator[Span]:
        """Record a span of a configuration change."""
        with self._start(name, _context_of(request_id.encode())) as span:
            span.set_attribute("request_id", request_id)
            yield span

    def close(self) -> None:
        """Write the remaining spans and close the output."""
        self._stack.close()

    @contextmanager
    def _start(self, name: str, context: Context | None) -> Iterator[Span]:
        with self._tracer.start_as_current_span(name, context=context) as span:
            yield OpenTelemetrySpan(span)


def _open(path: Path) -> TextIO:
    try:
        return path.open("a")
    except OSError as error:
        raise StorageError(
            error.strerror or str(error), step="open trace file", peer=str(path)
        ) from error


def _as_line(span: ReadableSpan) -> str:
    return span.to_json(indent=None) + "\n"


def _context_of(key: bytes) -> Context:
    """Return the trace context that every instance derives from the same key."""
    parent = trace.SpanContext(
        trace_id=xxhash.xxh3_128_intdigest(key) or 1,
        span_id=xxhash.xxh3_64_intdigest(key) or 1,
        is_remote=True,
        trace_flags=trace.TraceFlags(trace.TraceFlags.SAMPLED),
    )
    return trace.set_span_in_context(trace.NonRecordingSpan(parent), Context())
