"""Adapter to the users' platform.

The package holds the names, formats and calls of the platform and makes no decisions.
"""
