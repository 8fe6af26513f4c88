"""Sockets and endpoints, which carry bytes and don't depend on message classes."""
