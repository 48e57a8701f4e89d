"""Programs that run, load and measure whole deployments on one machine."""
