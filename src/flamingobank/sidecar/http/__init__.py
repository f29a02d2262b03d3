"""Serve HTTP/1.1 to callers, servers and operators of one machine."""
