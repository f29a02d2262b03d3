"""Translate between flamingobank and the users' platform; nothing here decides."""
