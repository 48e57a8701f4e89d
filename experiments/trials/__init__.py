"""Experiments that exercise one kind of decision on simulated input."""
