"""Sockets that a process opens before it loads its other modules.

What arrives meanwhile waits in them and isn't lost.
"""

import socket

from ..errors import TransportError

RECEIVE_BUFFER_BYTES = 1024 * 1024
# Upstreams and operators that connect while a control process starts. Further ones
# repeat the first packet of their connection after a second.
LISTEN_BACKLOG = 1024


def open_packet_socket(ip: str, port: int) -> socket.socket:
    """Return a bound, non-blocking UDP socket.

    Its receive buffer holds packets until they are read.

    Raises:
        TransportError: The address can't be used.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    return _bound(sock, ip, port, "open packets")


def open_listener(ip: str, port: int) -> socket.socket:
    """Return a listening, non-blocking TCP socket.

    Raises:
        TransportError: The address can't be used.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener = _bound(sock, ip, port, "listen")
    listener.listen(LISTEN_BACKLOG)
    return listener


def _bound(sock: socket.socket, ip: str, port: int, step: str) -> socket.socket:
    sock.setblocking(False)
    try:
        sock.bind((ip, port))
    except OSError as error:
        sock.close()
        peer = f"{ip}:{port}"
        raise TransportError(str(error), step=step, peer=peer) from error
    return sock
