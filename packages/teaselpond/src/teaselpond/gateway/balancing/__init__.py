"""Choose among upstreams whose load is known late."""
