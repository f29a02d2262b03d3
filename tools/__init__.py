"""Hold the project's own development commands."""
