"""Stand-ins for the cases 6 to 10, which need no library beside Python's own."""
