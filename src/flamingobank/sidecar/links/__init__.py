"""Carry messages between sidecars."""
