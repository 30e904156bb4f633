"""Measure the policy against baselines, in virtual time."""
