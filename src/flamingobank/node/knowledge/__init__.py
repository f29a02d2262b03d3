"""Hold what a node knows of the fleet and of its configuration."""
