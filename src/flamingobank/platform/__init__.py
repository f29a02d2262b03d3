"""Adapt the sidecar to the formats of the users' platform.

These are its headers, settings file, configuration, announcements of servers and object
store. No routing, retry or admission rule is applied here.
"""
