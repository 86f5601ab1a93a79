"""Responses of backend servers, as far as their heads are decoded."""

from types import SimpleNamespace


def build_response(status, headers):
    """Return a response to a POST request, with the attributes of aiohttp's."""
    return SimpleNamespace(
        method="POST", status=status, headers=headers, content_length=None
    )
