"""Route the requests of callers to homes and return their answers."""
