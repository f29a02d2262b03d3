"""Stand in for the users' platform on loopback: its store, servers and callers."""
