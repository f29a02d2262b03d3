"""Bring the requests of this machine's callers to their answers."""
