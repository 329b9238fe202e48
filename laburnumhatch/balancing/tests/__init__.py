"""Tests of balancing."""
