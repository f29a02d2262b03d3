"""Simulate the external systems for tests and benchmarks."""
