"""Hold what step modules share."""
