"""Canary releases: which version of a service gets which requests."""
