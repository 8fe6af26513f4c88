"""Soak test of the platform's entry and control programs under injected faults."""
