"""Run requests on the servers whose home this node is, and judge them."""
