"""Agreement of control members on one sequence of revisions."""
