"""Focused measurements on one machine."""
