"""Daemon that forwards callers' requests to upstreams."""
