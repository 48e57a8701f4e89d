"""Small models of the core protocols, for exhaustive model checking."""
