"""Stand-ins for external systems; docs/design/stand-ins.md lists them."""
