"""Snapshots of the routing files: publishing and putting into force."""
