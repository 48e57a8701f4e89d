"""Which model answers, and when a larger one is asked instead."""
