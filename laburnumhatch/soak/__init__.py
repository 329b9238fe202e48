"""Soak test of the real daemons.

A run injects overlapping faults and checks the guarantees that callers and upstreams rely on.
"""
