"""Model of one service with its homes and entries, in virtual time."""

from benchmarks.service_model.figures import compute_percentile, find_recovery
from benchmarks.service_model.fleet import Fleet, FleetSize, build_fleet
from benchmarks.service_model.requests import Request, RequestOutcome
from benchmarks.service_model.servers import ModelServer

__all__ = [
    "Fleet",
    "ModelServer",
    "RequestOutcome",
    "Request",
    "FleetSize",
    "build_fleet",
    "compute_percentile",
    "find_recovery",
]
