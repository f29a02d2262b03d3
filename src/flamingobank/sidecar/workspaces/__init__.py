"""Find the workspace of a request, check its key and keep to its quota."""
