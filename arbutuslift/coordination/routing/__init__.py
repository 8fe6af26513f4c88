"""Packet routing: routes, selection and health checks of upstreams."""
