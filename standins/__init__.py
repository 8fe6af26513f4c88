"""Simulated environment of the system: fabric, upstreams and callers."""
