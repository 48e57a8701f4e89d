"""What a host believes of each upstream, and which one it chooses."""
