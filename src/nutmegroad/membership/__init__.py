"""Membership of the cluster: links, heartbeats, member table and duties."""
