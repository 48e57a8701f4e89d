"""How late this host is itself, and what it does about that."""
