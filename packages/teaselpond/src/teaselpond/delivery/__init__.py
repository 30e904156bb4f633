"""Deliver answers whole, calls at most once, and refusals that are true."""
