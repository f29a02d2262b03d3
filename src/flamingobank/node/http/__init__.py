"""Serve HTTP/1.x to the callers, servers and operators of one node."""
