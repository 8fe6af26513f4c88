"""Sockets and endpoints: moves bytes, knows no message."""
