"""HTTP interface for operators of a deployment."""
