"""Parses addresses in the command-line options of the stand-ins."""


def parse_address(text: str) -> tuple[str, int]:
    """Return (ip, port) of ``ip:port``."""
    ip, _, port = text.rpartition(":")
    return ip, int(port)
