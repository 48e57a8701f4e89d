"""Where a request goes, whether it is let in, and how often it is tried."""
