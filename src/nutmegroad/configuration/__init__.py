"""The configuration in force: checked, spread, confirmed, leased."""
