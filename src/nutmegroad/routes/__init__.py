"""Shared types: requests of callers and the operator's configuration."""
