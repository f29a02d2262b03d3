"""Hold the peers, the configuration and the server state that a sidecar knows."""
