"""Route the requests of this machine's callers and return their answers."""
