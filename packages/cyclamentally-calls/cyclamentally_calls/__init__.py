"""The tasks that carry requests between callers and upstreams on one loop."""
