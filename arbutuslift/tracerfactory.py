"""Opens the tracer that the settings select."""

from pathlib import Path

from .tracer import NoOpTracer, Tracer


def open_tracer(
    choice: str, trace_file: Path | None, ratio: float, instance: str
) -> Tracer:
    """Return the tracer for the settings ``trace`` and ``trace_ratio``.

    Args:
        choice: ``off``, ``console`` or ``file:PATH``.
        trace_file: The path of ``file:PATH``; None for the other choices.
        ratio: Fraction of the flows to record.
        instance: Name of this instance.
    """
    if choice == "off":
        return NoOpTracer()
    # Imported only if tracing is on, because the SDK takes time and memory.
    from .oteltracer import OpenTelemetryTracer

    return OpenTelemetryTracer(trace_file, ratio, instance)
