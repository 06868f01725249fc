"""Examples: two fleets, a demonstration, and a gallery of small programs."""
