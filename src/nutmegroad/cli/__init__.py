"""Command line client ``nutmegroad`` of the operators' HTTP interface."""
