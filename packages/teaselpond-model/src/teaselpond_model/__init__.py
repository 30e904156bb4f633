"""Hold the contracts, settings and messages shared by all programs."""
