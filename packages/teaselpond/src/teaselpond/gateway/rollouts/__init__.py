"""Move a service's traffic to a new version of its upstreams."""
