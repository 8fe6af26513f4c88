"""HTTP endpoint at which upstreams announce themselves."""

import json
from collections.abc import Callable

from aiohttp import web

from ..errors import AnnouncementError, TransportError
from .fabric import Address

ANNOUNCEMENTS_PATH = "/v1/announcements"
MAX_BODY_BYTES = 8192


class AnnouncementEndpoint:
    """Accepts ``POST /v1/announcements`` with a JSON object.

    Args:
        accept: Called with the decoded object; raises AnnouncementError to refuse.
    """

    def __init__(self, accept: Callable[[object], None]) -> None:
        self._accept = accept
        application = web.Application(client_max_size=MAX_BODY_BYTES)
        application.router.add_post(ANNOUNCEMENTS_PATH, self._post)
        self._runner = web.AppRunner(application, access_log=None)

    async def open(self, address: Address) -> None:
        """Listen on an address.

        Raises:
            TransportError: The address can't be bound.
        """
        await self._runner.setup()
        site = web.TCPSite(self._runner, address.ip, address.port)
        try:
            await site.start()
        except OSError as error:
            raise TransportError(
                f"can't listen on {address.ip}:{address.port}: {error.strerror}",
                step="open announcement endpoint",
            ) from error

    async def close(self) -> None:
        """Stop listening."""
        await self._runner.cleanup()

    async def _post(self, request: web.Request) -> web.Response:
        try:
            self._accept(json.loads(await request.read()))
        except (AnnouncementError, ValueError) as error:
            return web.json_response({"error": str(error)}, status=400)
        return web.Response(status=204)
