"""Be the only way to the server of this machine."""
