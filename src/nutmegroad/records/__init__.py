"""At-most-once execution, billing records and request explanations."""
