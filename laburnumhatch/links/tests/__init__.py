"""Tests of the links between entry instances."""
