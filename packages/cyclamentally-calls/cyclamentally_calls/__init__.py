"""Data plane: tasks that forward requests between callers and upstreams."""
