"""Keep a node's view of the fleet and of its configuration up to date."""
