"""Deliver complete answers, run calls at most once and refuse accurately."""
