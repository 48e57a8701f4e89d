"""Opens the parts of a host in order, from checked settings."""
