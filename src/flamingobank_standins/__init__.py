"""Test doubles of the store, the platform and the upstreams, and a local fleet."""
