"""The daemon ``nutmegroadd``, which runs all parts in one process."""
