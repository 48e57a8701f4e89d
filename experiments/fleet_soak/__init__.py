"""Randomized fault-injection test of the router as real processes."""
