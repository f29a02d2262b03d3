"""Example deployments, and a demo that runs them."""
