"""Carry requests and their answers between nodes."""
