"""Proxy fleet for upstreams with gray failures.

A gray failure is a partial failure that simple health checks do not detect.
"""

__version__ = "0.1.0"

__all__ = ["__version__"]
