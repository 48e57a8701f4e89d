"""Long randomized runs of complete hosts under faults, on virtual time."""
