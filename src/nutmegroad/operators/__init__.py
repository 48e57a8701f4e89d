"""The operators' interface."""
