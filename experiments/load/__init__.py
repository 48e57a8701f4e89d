"""Load on our own daemon as processes, and all its measures."""
