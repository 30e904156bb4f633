"""Serve callers of a deployment whose state is in the platform's store."""
