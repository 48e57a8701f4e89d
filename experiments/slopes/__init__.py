"""Measurements of how the control plane's cost grows with the fleet.

The measured hosts get no requests from callers.
"""
