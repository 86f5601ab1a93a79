"""Clients of the services that the platform of a site provides."""
