"""Accepts, validates and distributes configurations."""
