"""What runs at most once, what is billed, what explains itself."""
