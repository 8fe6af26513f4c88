"""Stand-ins for the cases of the third review; they need only Python."""
