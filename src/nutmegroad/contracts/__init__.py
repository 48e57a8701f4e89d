"""Types and Protocols between the subpackages, and those of the platform."""
