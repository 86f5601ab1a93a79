"""Small replacements of outside systems, for tests and first use."""
