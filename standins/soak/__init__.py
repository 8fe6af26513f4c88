"""Soak of the programs of the users' platform under faults from outside."""
