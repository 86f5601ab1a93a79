"""Decides which engine serves which model versions and sends the orders."""
