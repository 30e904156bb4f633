"""Limit what untrusted callers can take from a gateway."""
