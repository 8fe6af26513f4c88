"""HTTP endpoint that tells routers whether an instance accepts packets."""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from .httpserver import HttpRequest, HttpResponse, HttpServer

if TYPE_CHECKING:
    from ..metricfamilies import MetricFamily

METRICS_PATH = "/metrics"
METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"
MAX_BODY_BYTES = 4096


class ReadinessEndpoint:
    """Answers readiness checks with 200 or 503, and serves the metrics.

    Args:
        path: Path of the readiness checks.
        is_ready: Whether the answer is 200.
        metrics: Returns the metric families of ``/metrics``.
    """

    def __init__(
        self,
        path: str,
        is_ready: Callable[[], bool],
        metrics: "Callable[[], list[MetricFamily]]",
    ) -> None:
        self._path = path
        self._is_ready = is_ready
        self._metrics = metrics
        self._server = HttpServer(self._respond, MAX_BODY_BYTES)

    @property
    def port(self) -> int:
        """Return the port that the endpoint listens on."""
        return self._server.port

    async def open(self, ip: str, port: int) -> None:
        """Listen."""
        await self._server.open(ip, port)

    async def close(self) -> None:
        """Stop listening."""
        await self._server.close()

    async def _respond(self, request: HttpRequest) -> HttpResponse:
        if request.path == self._path:
            return HttpResponse(status=200 if self._is_ready() else 503)
        if request.path == METRICS_PATH:
            return await metrics_response(self._metrics())
        return HttpResponse(status=404)


async def metrics_response(families: "list[MetricFamily]") -> HttpResponse:
    """Return the metrics page, rendered in a thread so that packets aren't delayed."""
    from ..metricspage import render_metrics

    return HttpResponse(
        status=200,
        body=await asyncio.to_thread(render_metrics, families),
        content_type=METRICS_TYPE,
    )
