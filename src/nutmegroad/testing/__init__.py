"""Test helpers, which plug-in authors may use as well."""
