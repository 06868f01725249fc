"""Stand-ins and process control for the review's scripts."""
