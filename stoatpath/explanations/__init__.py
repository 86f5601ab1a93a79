"""Records and logs the decisions made for each request."""
