"""Leases with fencing numbers on shards of duties, kept in the table."""
