"""Client of the platform's rate-limited weight store, as engines use it."""

from stoatpath.services.connections import PlatformConnection

WEIGHTS_TIMEOUT_MS = 10_000


class WeightStore:
    """Fetches the weights of a version."""

    __slots__ = ("connection",)

    def __init__(self, connection):
        self.connection = connection

    @classmethod
    def from_url(cls, url, tls=None, timeout_ms=WEIGHTS_TIMEOUT_MS):
        """Build a client of the service at a base URL."""
        return cls(PlatformConnection(url, timeout_ms, tls))

    async def fetch(self, version):
        """Return the weights of a version as JSON, or a failure."""
        message = {"version": version}
        return await self.connection.call("/v1/weights", message, _parse_weights)

    async def close(self):
        """Close the connections."""
        await self.connection.close()


def _parse_weights(answer):
    return dict(answer["weights"])
