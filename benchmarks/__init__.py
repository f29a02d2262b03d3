"""Measure the fleet: ``python -m benchmarks NAME [--seed N] --json``."""
