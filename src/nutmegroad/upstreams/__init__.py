"""The state a host keeps about each upstream, and upstream selection."""
