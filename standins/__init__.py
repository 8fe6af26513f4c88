"""Stand-ins for what surrounds the system: fabric, upstreams, callers."""
