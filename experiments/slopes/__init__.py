"""How the cost of control grows with the fleet."""
