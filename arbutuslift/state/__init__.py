"""State that a process holds in memory and on disk."""
