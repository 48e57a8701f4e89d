"""Canary releases: which version of a service runs which requests."""
