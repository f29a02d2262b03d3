"""Development commands of the project."""
