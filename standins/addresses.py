"""Parsing of addresses on the stand-ins' command lines."""


def parse_address(text: str) -> tuple[str, int]:
    """Return (ip, port) of ``ip:port``."""
    ip, _, port = text.rpartition(":")
    return ip, int(port)
