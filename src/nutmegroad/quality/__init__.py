"""Quality estimates of versions, and the planner that relies on them."""
