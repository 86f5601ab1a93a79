"""The listener that callers reach."""
