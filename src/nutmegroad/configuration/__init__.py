"""Configuration: checks, distribution, confirmation and leases."""
