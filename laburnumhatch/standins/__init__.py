"""Stand-ins for the platform and for upstream servers."""
