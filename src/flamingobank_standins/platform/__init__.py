"""Simulate the users' platform on loopback: its object store and its servers."""
