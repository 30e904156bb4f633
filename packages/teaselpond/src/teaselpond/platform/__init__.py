"""Translate between the gateway's types and the platform's formats."""
