"""Hold what this process knows of the fleet and of its configuration."""
