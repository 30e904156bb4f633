"""Name hosts to callers according to what the hosts can carry."""
