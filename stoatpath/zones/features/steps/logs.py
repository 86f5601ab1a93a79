"""Captures the log lines of a scenario."""

import logging


class LogCapture(logging.Handler):
    """Keeps the records that are logged until it is closed."""

    def __init__(self):
        super().__init__()
        self.records = []
        logger = logging.getLogger("stoatpath")
        self._level = logger.level
        logger.setLevel(logging.INFO)
        logger.addHandler(self)

    def emit(self, record):
        self.records.append(record)

    def count(self, event, **fields):
        return sum(
            record.getMessage() == event
            and all(getattr(record, name) == value for name, value in fields.items())
            for record in self.records
        )

    def decisions(self, request_id):
        """Return the decisions about a request that ended."""
        return [
            decision
            for record in self.records
            if record.getMessage() == "request.ended"
            and record.request_id == request_id
            for decision in record.decisions
        ]

    def ends(self, reason):
        """Return the decisions about each request that ended for a reason."""
        return [
            record.decisions
            for record in self.records
            if record.getMessage() == "request.ended" and record.reason == reason
        ]

    def close(self):
        logger = logging.getLogger("stoatpath")
        logger.removeHandler(self)
        logger.setLevel(self._level)
        super().close()
