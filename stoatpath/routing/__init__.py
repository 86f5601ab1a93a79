"""Chooses a backend server for one attempt."""
