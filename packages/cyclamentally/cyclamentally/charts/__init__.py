"""State charts in TOML files."""
