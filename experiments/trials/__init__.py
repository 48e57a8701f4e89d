"""Trials of one decision alone, on drawn cases."""
