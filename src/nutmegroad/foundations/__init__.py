"""Types, result codes, clocks, logging and metrics for all packages."""
