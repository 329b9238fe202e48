"""Fault injection into real processes, and checks of the guarantees under each fault."""
