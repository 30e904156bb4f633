"""Translate between the gateway's types and what the platform speaks."""
