"""Keeps each session on its version."""
