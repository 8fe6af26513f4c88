"""Start of processes: what is loaded, when, and from where."""
