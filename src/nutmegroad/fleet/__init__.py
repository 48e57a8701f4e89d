"""State that hosts share: store tables, upstream loads, rollout evidence.

Hosts follow tables of the platform's store and exchange gossip by datagram.
"""
