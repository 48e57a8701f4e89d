"""Load tests of the daemon, run as processes, and their measurements."""
