"""Words, codes, clocks, logs and counters that every room shares."""
