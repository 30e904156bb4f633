"""Serve callers and operators over HTTP."""

from .application import Application

__all__ = ["Application"]
