"""Handles HTTP requests of callers: listener, parsing, pipeline and responses."""
