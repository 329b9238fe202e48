"""Tests of the fault scenarios."""
