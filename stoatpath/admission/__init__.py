"""Decides who is served next, who waits and who is refused."""
