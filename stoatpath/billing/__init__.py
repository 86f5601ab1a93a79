"""Writes one billing record per answered request."""
