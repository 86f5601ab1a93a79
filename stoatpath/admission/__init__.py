"""Decides which requests are served next, which wait and which are refused."""
