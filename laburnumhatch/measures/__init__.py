"""Experiments and benchmarks."""
