"""Provide the helpers that the tests of all packages share."""

from .cases import AsyncTestCase

__all__ = ["AsyncTestCase"]
