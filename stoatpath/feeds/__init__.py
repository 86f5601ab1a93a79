"""Follows the change feeds of the store's tables and keeps a local copy of each."""
