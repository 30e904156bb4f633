"""Define the contracts, configuration and errors that all programs share."""
