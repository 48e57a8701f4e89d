"""Model choice: escalation of a request from a small to a larger model."""
