"""Admit offered requests and run them on the server of this machine."""
