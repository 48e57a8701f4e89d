"""The callers' interface: requests in, answers and refusals out."""
