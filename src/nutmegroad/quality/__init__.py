"""How good versions are, and which plan is the cheapest that will do."""
