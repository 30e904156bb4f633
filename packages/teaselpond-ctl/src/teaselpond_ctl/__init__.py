"""Operate a teaselpond fleet from the command line."""
