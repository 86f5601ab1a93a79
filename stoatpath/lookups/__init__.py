"""Keeps answers of plain services for as long as these allow it."""
