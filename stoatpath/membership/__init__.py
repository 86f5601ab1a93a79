"""Tracks live instances and backend servers."""
