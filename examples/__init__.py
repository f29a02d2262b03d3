"""Hold example deployments and the demo."""
