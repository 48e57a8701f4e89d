"""Admission, upstream selection, retries and dispatch of requests."""
