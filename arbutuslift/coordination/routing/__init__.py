"""The way of a packet: routes, choice of an upstream, verdicts on upstreams."""
