"""Send requests and their answers between nodes."""
