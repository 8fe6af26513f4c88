"""Spread of state between instances: gossip, feeds and what they carry."""
