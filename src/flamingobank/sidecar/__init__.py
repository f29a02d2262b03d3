"""The sidecar: a process that runs beside each instance and forwards requests."""
