"""Callers' connections, from accepting one to the requests on it."""
