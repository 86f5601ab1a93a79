"""Stand-ins of the platform and of backend servers, for tests and local runs."""
