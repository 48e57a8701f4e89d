"""Stand-ins for the outside systems; docs/design/stand-ins.md lists them."""
