"""Keeps local copies of the store's tables, each with its age."""
