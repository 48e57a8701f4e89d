"""How configurations and notices spread, on virtual time."""
