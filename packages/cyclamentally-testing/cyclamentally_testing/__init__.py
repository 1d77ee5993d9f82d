"""Stand-ins for the platform, upstreams and callers."""
