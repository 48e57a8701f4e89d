"""The daemon ``nutmegroadd``: all rooms put together as one process."""
