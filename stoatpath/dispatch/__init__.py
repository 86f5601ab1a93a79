"""Sends requests to backend servers with retries and hedges, and checks answers."""
