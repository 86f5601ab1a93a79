"""Selects the model versions that a request runs on, in ascending order of cost."""
