"""Sends attempts to backend servers and checks their answers."""
