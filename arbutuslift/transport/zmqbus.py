"""Bus over ZeroMQ: a listening ROUTER socket, and a DEALER and a task per peer."""

import asyncio
import socket
from collections.abc import Callable
from typing import TYPE_CHECKING

import structlog
import zmq
import zmq.asyncio
from attrs import frozen

from ..errors import ArbutusliftError, PeerTimeout, TransportError
from .bus import Bus
from .zmqpeer import (
    NO_ANSWER,
    QUEUE_MESSAGES,
    REQUEST_ID_BYTES,
    BusCounters,
    ZmqPeer,
)

MAX_MESSAGE_BYTES = 4 * 1024 * 1024
MAX_HANDLERS = 1024
# A full mesh of 1,500 instances needs one socket per peer, but ZeroMQ's default limit
# is 1,023 sockets.
MAX_SOCKETS = 4096
RECONNECT_MS = 100
RECONNECT_MAX_MS = 2000
_IPV4_LOOPBACK = 127
_IPV6_LOOPBACK = bytes(15) + b"\x01"

if TYPE_CHECKING:
    from zmq.auth.asyncio import AsyncioAuthenticator

    from .keys import AllowedKeys, KeyPair

_log = structlog.get_logger()


@frozen(kw_only=True)
class Security:
    """CURVE keys of a bus.

    Attributes:
        keys: Keys of this process.
        allowed: Public keys of the peers.
    """

    keys: "KeyPair"
    allowed: "AllowedKeys"


def endpoint_of_address(name: str) -> str:
    """Return the endpoint of a peer whose name is its address and port."""
    return f"tcp://{name}"


class ZmqBus(Bus):
    """Bus between processes over TCP; created by :meth:`open`.

    Args:
        name: Name of this process; with CURVE the name of its key file.
        security: CURVE keys; None means clear text.
        allow_plain: Permits clear text on addresses other than loopback.
        max_message_bytes: A larger message closes the connection of its sender.
        endpoint_of: Returns the endpoint for the name of a peer whose endpoint was
            never set.
        reconnect_ms: Time until a connection is retried, doubled at each retry.
        reconnect_max_ms: Longest time between two retries.
        connect_timeout_ms: Time after which an attempt to connect fails; 0 leaves it
            to the operating system, which resends a lost packet of the handshake
            after 1 s.
    """

    def __init__(
        self,
        name: str,
        security: Security | None = None,
        *,
        allow_plain: bool = False,
        max_message_bytes: int = MAX_MESSAGE_BYTES,
        endpoint_of: Callable[[str], str | None] = lambda name: None,
        reconnect_ms: int = RECONNECT_MS,
        reconnect_max_ms: int = RECONNECT_MAX_MS,
        connect_timeout_ms: int = 0,
    ) -> None:
        super().__init__(name)
        self.counters = BusCounters()
        self.endpoint = ""
        self._security = security
        self._allow_plain = allow_plain
        self._max_message_bytes = max_message_bytes
        self._endpoint_of = endpoint_of
        self._reconnect_ms = reconnect_ms
        self._reconnect_max_ms = reconnect_max_ms
        self._connect_timeout_ms = connect_timeout_ms
        self._context = zmq.asyncio.Context()
        self._context.set(zmq.MAX_SOCKETS, MAX_SOCKETS)
        self._authenticator: AsyncioAuthenticator | None = None
        self._router: zmq.asyncio.Socket | None = None
        self._endpoints: dict[str, str] = {}
        self._peers: dict[str, ZmqPeer] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def open(self, endpoint: str) -> None:
        """Listen on an endpoint; a port of 0 selects any free port.

        Raises:
            TransportError: The endpoint is malformed or in use, or clear text isn't
                allowed on it.
        """
        self._check_clear_text(endpoint)
        if self._security:
            # Instances without encryption start faster without this import.
            from zmq.auth.asyncio import AsyncioAuthenticator

            self._authenticator = AsyncioAuthenticator(self._context)
            self._authenticator.start()
            self._authenticator.configure_curve_callback("*", _Credentials(self))
        router = self._new_socket(zmq.ROUTER)
        if self._security:
            router.curve_server = True
            router.curve_secretkey = self._security.keys.secret
            router.curve_publickey = self._security.keys.public
        self._router = router
        try:
            router.bind(endpoint)
        except zmq.ZMQError as error:
            raise TransportError(str(error), step="open bus", peer=endpoint) from error
        self.endpoint = router.last_endpoint.rstrip(b"\0").decode()
        self._start(self._receive(router))

    def connect(self, peer: str, endpoint: str) -> None:
        """Set the endpoint of a peer; a new endpoint closes the old connection."""
        if self._endpoints.get(peer) == endpoint:
            return
        self._check_clear_text(endpoint)
        self._endpoints[peer] = endpoint
        self._close_connection(peer)

    async def request(self, peer: str, body: bytes, timeout_s: float) -> bytes:
        """Send a request and wait for the answer."""
        connection = self._connection(peer)
        if connection is None or not connection.can_send(body):
            raise PeerTimeout("not reachable", step="request", peer=peer)
        try:
            async with asyncio.timeout(timeout_s):
                return await connection.request(body)
        except TimeoutError:
            connection.record_timeout()
            raise PeerTimeout("no answer", step="request", peer=peer) from None

    async def send(self, peer: str, body: bytes) -> None:
        """Send a message that needs no answer."""
        connection = self._connection(peer)
        if connection and connection.can_send(body):
            connection.enqueue(NO_ANSWER, body)

    async def close(self) -> None:
        """Close all sockets and cancel all tasks."""
        tasks = [*self._tasks, *(peer.task for peer in self._peers.values())]
        for task in tasks:
            task.cancel()
        self._peers.clear()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self._router:
            self._router.close(linger=0)
        if self._authenticator:
            self._authenticator.stop()
            # The authenticator's cancelled poll must remove its file descriptor from
            # the loop before another socket gets the same number.
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        self._context.destroy(linger=0)

    def allowed_name(self, key: bytes) -> str | None:
        """Return the peer that owns a public key."""
        return self._security.allowed.name_of(key) if self._security else None

    def _check_clear_text(self, endpoint: str) -> None:
        host = endpoint.removeprefix("tcp://").rpartition(":")[0].strip("[]")
        try:
            is_loopback = _is_loopback(host)
        except OSError as error:
            raise TransportError(
                "not tcp://ip:port", step="check endpoint", peer=endpoint
            ) from error
        if not (self._security or self._allow_plain or is_loopback):
            raise TransportError(
                "clear text is only allowed on loopback",
                step="check endpoint",
                peer=endpoint,
            )

    def _new_socket(self, kind: int) -> zmq.asyncio.Socket:
        socket = self._context.socket(kind)
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.SNDHWM, QUEUE_MESSAGES)
        socket.setsockopt(zmq.RCVHWM, QUEUE_MESSAGES)
        socket.setsockopt(zmq.MAXMSGSIZE, self._max_message_bytes)
        return socket

    def _connection(self, name: str) -> "ZmqPeer | None":
        peer = self._peers.get(name)
        if peer and peer.is_usable:
            return peer
        self._close_connection(name)
        endpoint = self._endpoints.get(name) or self._endpoint_of(name)
        if endpoint is None:
            return None
        socket = self._new_socket(zmq.DEALER)
        if self._security:
            server_key = self._security.allowed.key_of(name)
            if server_key is None:
                socket.close()
                return None
            socket.curve_serverkey = server_key
            socket.curve_publickey = self._security.keys.public
            socket.curve_secretkey = self._security.keys.secret
        # Without this option, messages to a disconnected peer are queued and are stale
        # when they arrive.
        socket.setsockopt(zmq.IMMEDIATE, 1)
        socket.setsockopt(zmq.CONNECT_TIMEOUT, self._connect_timeout_ms)
        socket.setsockopt(zmq.RECONNECT_IVL, self._reconnect_ms)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, self._reconnect_max_ms)
        socket.connect(endpoint)
        peer = ZmqPeer(self.name, socket, self.counters, self._max_message_bytes)
        self._peers[name] = peer
        return peer

    def _close_connection(self, name: str) -> None:
        peer = self._peers.pop(name, None)
        if peer:
            peer.close()

    async def _receive(self, router: zmq.asyncio.Socket) -> None:
        while True:
            frames = await router.recv_multipart(copy=False)
            if len(frames) != 4 or len(frames[1].bytes) not in (0, REQUEST_ID_BYTES):
                self.counters.malformed += 1
                continue
            sender = self._sender_of(frames)
            if sender is None:
                self.counters.spoofed_senders += 1
            elif len(self._tasks) > MAX_HANDLERS:
                self.counters.overflows += 1
            else:
                self._start(self._handle(router, sender, frames))

    def _sender_of(self, frames: list[zmq.Frame]) -> str | None:
        try:
            claimed_name = frames[2].bytes.decode()
        except UnicodeDecodeError:
            return None
        if self._security is None:
            return claimed_name
        key = frames[3].get("User-Id")
        key_owner = self.allowed_name(key.encode() if isinstance(key, str) else key)
        return claimed_name if claimed_name == key_owner else None

    async def _handle(
        self, router: zmq.asyncio.Socket, sender: str, frames: list[zmq.Frame]
    ) -> None:
        identity, request_id = frames[0].bytes, frames[1].bytes
        if self.handler is None:
            return
        try:
            answer = await self.handler(sender, frames[3].bytes)
        except ArbutusliftError as error:
            _log.warning("bus_handler_failed", peer=sender, error=str(error))
            return
        except Exception:
            # An error in one handler must not end the process.
            self.counters.failures += 1
            _log.exception("bus_handler_failed", peer=sender)
            return
        if request_id:
            try:
                await router.send_multipart(
                    (identity, request_id, answer or b""), zmq.NOBLOCK
                )
            except zmq.ZMQError:
                self.counters.overflows += 1

    def _start(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


class _Credentials:
    """Credentials provider of pyzmq's authenticator."""

    def __init__(self, bus: ZmqBus) -> None:
        self._bus = bus

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether the client with a public key may connect."""
        del domain
        return self._bus.allowed_name(key) is not None


def _is_loopback(host: str) -> bool:
    """Return whether an IP address is a loopback address.

    It avoids the module ``ipaddress``, which takes long to load on a small share of a
    core.

    Raises:
        OSError: The text isn't an IP address.
    """
    if ":" in host:
        return socket.inet_pton(socket.AF_INET6, host) == _IPV6_LOOPBACK
    return socket.inet_pton(socket.AF_INET, host)[0] == _IPV4_LOOPBACK
