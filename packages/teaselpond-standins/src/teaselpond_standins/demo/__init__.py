"""Show a fleet at work, as a caller and an operator see it."""

from .demo import Demo

__all__ = ["Demo"]
