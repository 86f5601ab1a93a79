"""Requests whose content ends backend servers, and how instances agree on them."""
