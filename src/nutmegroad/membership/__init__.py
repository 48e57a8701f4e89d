"""Hosts that know each other: links, heartbeats, members, duties."""
