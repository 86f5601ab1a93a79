"""Selects the model versions that a request runs on, from cheapest to dearest."""
