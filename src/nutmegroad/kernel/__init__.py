"""Settings, plug-in registry, start and graceful stop of a host."""
