"""Hold, order and reject calls while upstreams have no capacity."""
