"""What one request or one decision costs."""
