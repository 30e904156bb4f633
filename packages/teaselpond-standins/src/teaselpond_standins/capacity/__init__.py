"""Measure what the fleet's control work costs, and fit it to other sizes."""
