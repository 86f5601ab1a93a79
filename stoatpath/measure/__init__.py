"""Seeded experiments, load runs and reports."""
