"""Pins each session to the model version that it started on."""
