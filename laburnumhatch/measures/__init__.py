"""Simulations that compare decision functions, and benchmarks."""
