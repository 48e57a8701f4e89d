"""A model-aware router for versions and cascades.

What a plug-in or a test bench needs is here; all else is internal.
"""
