"""The HTTP interface for callers: model requests, services and sessions."""
