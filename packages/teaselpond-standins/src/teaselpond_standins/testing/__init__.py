"""Offer what the tests of every package share."""

from .cases import AsyncTestCase

__all__ = ["AsyncTestCase"]
