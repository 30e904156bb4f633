"""Start and stop the process of a gateway in little time."""
