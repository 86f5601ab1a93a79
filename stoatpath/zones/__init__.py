"""Availability zones: drained ones, and the regions that requests may reach."""
