"""State of one process, in memory and on disk."""
