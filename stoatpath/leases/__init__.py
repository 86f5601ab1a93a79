"""Leases with fencing tokens on shards of resources, stored in the platform's table."""
