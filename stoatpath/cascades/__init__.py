"""Plans which versions a request tries, from cheap to dear."""
