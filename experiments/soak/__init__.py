"""A long randomised run of our own daemon, on virtual time."""
