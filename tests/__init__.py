"""Tests of nutmegroad, one module for each module."""
