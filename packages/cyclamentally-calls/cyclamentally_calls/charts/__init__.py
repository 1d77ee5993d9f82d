"""State charts of connections."""
