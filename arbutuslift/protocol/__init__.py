"""Packets, messages and the configuration document."""
