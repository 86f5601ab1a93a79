"""Caches answers of plain services for as long as their headers allow."""
