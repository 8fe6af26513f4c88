"""HTTP endpoint that tells routers whether an instance takes packets."""

from collections.abc import Callable

from .httpserver import HttpRequest, HttpResponse, HttpServer

METRICS_PATH = "/metrics"
MAX_BODY_BYTES = 4096


class ReadinessEndpoint:
    """Answers one path with 200 or 503.

    Args:
        path: Path that is asked for.
        is_ready: Tells the answer.
        metrics: Returns the text of ``/metrics``.
    """

    def __init__(
        self, path: str, is_ready: Callable[[], bool], metrics: Callable[[], str]
    ) -> None:
        self._path = path
        self._is_ready = is_ready
        self._metrics = metrics
        self._server = HttpServer(self._respond, MAX_BODY_BYTES)

    @property
    def port(self) -> int:
        """Return the port that it listens on."""
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
            return HttpResponse(status=200, body=self._metrics().encode())
        return HttpResponse(status=404)
