"""Decide which work starts, waits or is refused as not run."""

from flamingobank.admission.work import Lane, Work

__all__ = ["Lane", "Work"]
