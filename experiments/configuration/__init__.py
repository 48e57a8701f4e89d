"""Tests and measurements of how the configuration reaches all hosts.

Some run on virtual time, others on real links and processes.
"""
