"""Measures the cost of single requests and single decisions."""
