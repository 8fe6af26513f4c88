"""Opens the traces that the settings choose."""

from pathlib import Path

from .traces import NoTraces, Traces


def open_traces(
    choice: str, trace_file: Path | None, ratio: float, instance: str
) -> Traces:
    """Return traces for the settings ``trace`` and ``trace_ratio``.

    Args:
        choice: ``off``, ``console`` or ``file:PATH``.
        trace_file: The path of the last choice.
        ratio: Part of the flows to record.
        instance: Name of this instance.
    """
    if choice == "off":
        return NoTraces()
    # The SDK takes time and memory that instances without traces don't need.
    from .spans import SpanTraces

    return SpanTraces(trace_file, ratio, instance)
