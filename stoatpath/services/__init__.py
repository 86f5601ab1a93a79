"""Clients of the platform services of sites that use this project's interface."""
