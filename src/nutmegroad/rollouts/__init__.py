"""Rollouts of model versions: traffic shares, quarantines, engine orders."""
