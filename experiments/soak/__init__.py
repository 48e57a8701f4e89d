"""Randomized long run of whole hosts under faults, on virtual time."""
