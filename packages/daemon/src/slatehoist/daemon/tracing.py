"""Tracing with a span per hop: entry, selection, link, sidecar, queue, endpoint."""

from opentelemetry import propagate, trace
from opentelemetry.exporter.otlp.proto.http.trace_exporter import OTLPSpanExporter
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import BatchSpanProcessor
from opentelemetry.sdk.trace.sampling import ParentBased, TraceIdRatioBased

from slatehoist.config.settings import ObserveSettings

#: Milliseconds between exports of finished spans.
EXPORT_INTERVAL_MS = 1000


def configure_tracing(cfg: ObserveSettings, service: str, instance: str) -> None:
    """Set up the process's tracer; export spans only if a collector URL is set."""
    resource = Resource.create(
        {"service.name": service, "service.instance.id": instance}
    )
    ratio = cfg.sample if cfg.otlp else 0.0
    provider = TracerProvider(
        resource=resource, sampler=ParentBased(TraceIdRatioBased(ratio))
    )
    if cfg.otlp:
        exporter = OTLPSpanExporter(endpoint=cfg.otlp, timeout=2)
        processor = BatchSpanProcessor(
            exporter, schedule_delay_millis=EXPORT_INTERVAL_MS
        )
        provider.add_span_processor(processor)
    trace.set_tracer_provider(provider)


def tracer() -> trace.Tracer:
    """Return the product's tracer."""
    return trace.get_tracer("slatehoist")


def trace_id(span: trace.Span) -> str:
    """Return a span's trace id in hexadecimal."""
    return trace.format_trace_id(span.get_span_context().trace_id)


def traceparent(span: trace.Span) -> str:
    """Return the W3C ``traceparent`` header of a span."""
    carrier: dict[str, str] = {}
    propagate.inject(carrier, trace.set_span_in_context(span))
    return carrier.get("traceparent", "")


def parent_context(header: str):
    """Return the context of a W3C ``traceparent`` header, or None if it is empty."""
    return propagate.extract({"traceparent": header}) if header else None
