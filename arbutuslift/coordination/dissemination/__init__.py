"""Dissemination of state between instances by gossip and feeds."""
