"""Programs that run, load, test and measure deployments on one machine."""
