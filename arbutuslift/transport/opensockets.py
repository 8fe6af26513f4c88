"""Socket that receives callers' packets."""

import socket

from ..errors import TransportError

RECEIVE_BUFFER_BYTES = 1024 * 1024


def open_packet_socket(ip: str, port: int) -> socket.socket:
    """Return a bound, non-blocking UDP socket.

    Its receive buffer holds packets until they are read. A process that opens the
    socket before it loads its other modules loses fewer packets during its start.

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
