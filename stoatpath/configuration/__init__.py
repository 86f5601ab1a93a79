"""Accepts, validates and distributes configurations.

Routers and controllers share a configuration of documents, with revisions, submissions
and snapshots. Gateways instead follow a route table in the platform's store: modules
`routes`, `route_keepers` and `route_guards`.
"""
