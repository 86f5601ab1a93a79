"""Decides which engine holds which version and sends the orders."""
