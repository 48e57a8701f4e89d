"""Requests whose content is opaque: routed, sent, repeated, handed on."""
