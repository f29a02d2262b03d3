"""Bring callers' requests to a home and their answers back."""
