"""The command ``nutmegroad``, a client of the operators' interface."""
