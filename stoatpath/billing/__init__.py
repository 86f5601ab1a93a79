"""Writes one billing record per request."""
