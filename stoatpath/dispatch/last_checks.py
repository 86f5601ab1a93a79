"""Checks a request once more when its connection is open, before any byte leaves.

A connection takes up to half a second, and the process may be paused meanwhile; what
was checked before is then no longer true.
"""

import contextvars

import aiohttp

_check = contextvars.ContextVar("last_check", default=None)


class NotSent(Exception):
    """A request was not sent, since its last check returned the `failure`."""

    def __init__(self, failure):
        super().__init__(failure.detail)
        self.failure = failure


class CheckedRequest(aiohttp.ClientRequest):
    """A request of aiohttp that calls the check of its task before it is written."""

    async def send(self, conn):
        """Write the request on an open connection; raise `NotSent` if refused."""
        check = _check.get()
        failure = None if check is None else check()
        if failure is not None:
            raise NotSent(failure)
        return await super().send(conn)


def use_last_check(check):
    """Set the check of requests that the running task sends from now on.

    `check` returns a failure or None; None in its place ends the checks. An exchange
    runs in a task of its own.
    """
    _check.set(check)
