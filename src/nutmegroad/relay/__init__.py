"""The relay: forwards requests of opaque content, and retries failed ones."""
