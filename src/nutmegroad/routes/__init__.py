"""Types of callers' requests and of the operator's configuration."""
