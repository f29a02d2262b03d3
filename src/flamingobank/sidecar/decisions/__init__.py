"""Decide without a clock, a socket or a log what happens to requests."""
