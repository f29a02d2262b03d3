"""Soak test: run sidecar processes on loopback under random faults.

Faults are injected from outside the processes: signals, links that a proxy delays,
cuts, resets or silences, clocks that jump, a store and servers that fail, and changes
of the configuration. Callers keep using their connections until the process closes
them. The test checks the guarantees as callers and servers observe them, and that no
log reports an exception.
"""
