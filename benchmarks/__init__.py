"""Benchmarks of the fleet: ``python -m benchmarks NAME [--seed N] --json``."""
