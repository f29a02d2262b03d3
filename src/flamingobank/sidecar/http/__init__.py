"""Serve HTTP/1.1 to the callers, servers and operators of one machine."""
