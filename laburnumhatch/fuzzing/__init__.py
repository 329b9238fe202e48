"""Fuzzing of everything that decodes bytes from outside the process."""
