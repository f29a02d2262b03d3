"""Serve HTTP to callers, servers and operators."""
