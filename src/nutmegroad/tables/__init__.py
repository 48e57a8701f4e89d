"""The platform's tables that a host follows, applied row by row."""
