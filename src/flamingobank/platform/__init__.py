"""Translate between flamingobank and the users' platform, without any decisions."""
