"""HTTP endpoint that receives the announcements of upstreams."""

import hashlib
import hmac
from collections import Counter
from collections.abc import Callable

from aiohttp import web
from attrs import frozen

from ..errors import AnnouncementError, FieldError, TransportError
from ..fieldtypes import parse_json
from .fabric import Address

ANNOUNCEMENTS_PATH = "/v1/announcements"
HEALTH_PATH = "/v1/health"
SIGNATURE_HEADER = "Announcement-Signature"
MAX_BODY_BYTES = 8192


@frozen(kw_only=True)
class Refusal:
    """An announcement that was refused.

    Attributes:
        peer: IP address of the sender.
        status: HTTP status of the answer.
        reason: Why it was refused.
    """

    peer: str
    status: int
    reason: str


def signature_of(body: bytes, key: bytes) -> str:
    """Return the value of the signature header: HMAC-SHA256 of the body in hex."""
    return hmac.new(key, body, hashlib.sha256).hexdigest()


class AnnouncementEndpoint:
    """Accepts ``POST /v1/announcements`` with a JSON object and answers health checks.

    Attributes:
        is_serving: Whether health checks succeed, so that the fabric sends packets to
            this instance.

    Args:
        accept: Called with the decoded object; raises AnnouncementError to refuse.
        key: Shared key of signed announcements, or None to accept unsigned ones.
        on_refusal: Called for each refused announcement.
    """

    def __init__(
        self,
        accept: Callable[[object], None],
        key: bytes | None = None,
        on_refusal: Callable[[Refusal], None] | None = None,
    ) -> None:
        self._accept = accept
        self._key = key
        self._on_refusal = on_refusal
        self.is_serving = True
        self.counts: Counter[str] = Counter()
        application = web.Application(client_max_size=MAX_BODY_BYTES)
        application.router.add_post(ANNOUNCEMENTS_PATH, self._post)
        application.router.add_get(HEALTH_PATH, self._health)
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

    def handle(self, body: bytes, signature: str, peer: str) -> web.Response:
        """Answer one announcement.

        Args:
            body: Body of the request.
            signature: Value of the signature header, empty if there is none.
            peer: IP address of the sender.
        """
        if self._key is not None and not _is_signature_valid(
            body, signature, self._key
        ):
            return self._refuse(peer, 401, f"{SIGNATURE_HEADER}: missing or wrong")
        try:
            self._accept(parse_json(body))
        except FieldError as error:
            return self._refuse(peer, 400, f"body: {error.reason}")
        except AnnouncementError as error:
            return self._refuse(peer, 400, error.message)
        self.counts["accepted"] += 1
        return web.Response(status=204)

    async def _post(self, request: web.Request) -> web.Response:
        peer = request.remote or ""
        try:
            body = await request.read()
        except web.HTTPRequestEntityTooLarge:
            return self._refuse(peer, 400, f"body: over {MAX_BODY_BYTES} bytes")
        return self.handle(body, request.headers.get(SIGNATURE_HEADER, ""), peer)

    async def _health(self, request: web.Request) -> web.Response:
        return web.Response(status=200 if self.is_serving else 503)

    def _refuse(self, peer: str, status: int, reason: str) -> web.Response:
        self.counts[f"refused_{status}"] += 1
        if self._on_refusal is not None:
            self._on_refusal(Refusal(peer=peer, status=status, reason=reason))
        return web.json_response({"error": reason}, status=status)


def _is_signature_valid(body: bytes, signature: str, key: bytes) -> bool:
    expected = signature_of(body, key)
    # A header may hold surrogate escapes, but compare_digest accepts only ASCII text.
    given = signature.encode("utf-8", "surrogateescape")
    return hmac.compare_digest(given, expected.encode())
