"""Serves callers of an instance that reaches no backend server, through others."""
