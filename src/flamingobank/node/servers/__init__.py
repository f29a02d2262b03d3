"""Run requests on the servers whose home is this node, and track their health."""
