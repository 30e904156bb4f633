"""Limit the memory and connections that untrusted callers can take."""
