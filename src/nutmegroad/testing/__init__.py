"""Helpers for tests that users may want too."""
