"""Opens the traces that the settings choose."""

from pathlib import Path

from .tracer import NoOpTracer, Tracer


def open_tracer(
    choice: str, trace_file: Path | None, ratio: float, instance: str
) -> Tracer:
    """Return traces for the settings ``trace`` and ``trace_ratio``.

    Args:
        choice: ``off``, ``console`` or ``file:PATH``.
        trace_file: The path of the last choice.
        ratio: Part of the flows to record.
        instance: Name of this instance.
    """
    if choice == "off":
        return NoOpTracer()
    # The SDK takes time and memory that instances without traces don't need.
    from .oteltracer import OpenTelemetryTracer

    return OpenTelemetryTracer(trace_file, ratio, instance)
