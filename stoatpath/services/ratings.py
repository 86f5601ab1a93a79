"""Client of the platform's service that rates answers."""

from stoatpath.services.connections import PlatformConnection

RATING_TIMEOUT_MS = 1_000


class RatingService:
    """Requests ratings of answers, from 0 to 1."""

    __slots__ = ("connection",)

    def __init__(self, connection):
        self.connection = connection

    @classmethod
    def from_url(cls, url, tls=None, timeout_ms=RATING_TIMEOUT_MS):
        """Build a client of the service at a base URL."""
        return cls(PlatformConnection(url, timeout_ms, tls))

    async def rate(self, request_id, purpose, version, answer):
        """Return a score between 0 and 1, or a failure."""
        message = {
            "request_id": request_id,
            "purpose": purpose,
            "version": version,
            "answer": answer,
        }
        return await self.connection.call("/v1/ratings", message, _parse_rating)

    async def close(self):
        """Close the connections."""
        await self.connection.close()


def _parse_rating(answer):
    rating = float(answer["score"])
    if not 0.0 <= rating <= 1.0:
        raise ValueError("a score lies between 0 and 1")
    return rating
