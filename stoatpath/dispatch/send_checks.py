"""Checks a request once its connection is open, immediately before it is written."""

from contextvars import ContextVar

import aiohttp

# Set in the task of an exchange; aiohttp passes nothing of the caller's to a request.
_check = ContextVar("check", default=None)


class SendRefused(Exception):
    """A request that was not written; `failure` says why."""

    def __init__(self, failure):
        super().__init__(failure.detail)
        self.failure = failure


class CheckedRequest(aiohttp.ClientRequest):
    """Calls the check of its task after connecting, which may take long."""

    async def send(self, conn):
        """Write the request; raise `SendRefused` if the check returns a failure."""
        check = _check.get()
        failure = None if check is None else check()
        if failure is not None:
            raise SendRefused(failure)
        return await super().send(conn)


def check_before_send(check):
    """Let `check` decide on requests that the current task sends from now on.

    It returns a failure or None; None in its place checks nothing.
    """
    _check.set(check)
