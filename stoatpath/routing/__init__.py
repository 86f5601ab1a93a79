"""Selects the backend server for each attempt of a request."""
