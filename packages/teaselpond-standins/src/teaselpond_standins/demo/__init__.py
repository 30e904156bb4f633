"""Demonstrate a fleet from a caller's and an operator's side."""

from .demo import Demo

__all__ = ["Demo"]
