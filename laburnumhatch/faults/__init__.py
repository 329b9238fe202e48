"""Failures brought about in real processes, and the checks of what then happened."""
