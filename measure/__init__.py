"""Measurements of single parts of the system, on one machine."""
