"""Socket on which callers' packets arrive."""

import socket

from ..errors import TransportError

RECEIVE_BUFFER_BYTES = 1024 * 1024


def open_packet_socket(ip: str, port: int) -> socket.socket:
    """Return a bound UDP socket that doesn't block.

    Packets that arrive before they are read wait in it. A process that opens it before
    it loads its other parts loses fewer packets at its start.

    Raises:
        TransportError: The address can't be used.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    try:
        sock.bind((ip, port))
    except OSError as error:
        sock.close()
        peer = f"{ip}:{port}"
        raise TransportError(str(error), step="open packets", peer=peer) from error
    return sock
