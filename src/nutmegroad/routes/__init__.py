"""What callers ask for, and what the operator allows: shared vocabulary."""
