"""Counts malformed reports and mails, and logs them at most once a minute."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator

from coveflow import wire
from coveflow.core.model import Report
from coveflow.logs import Log, LogThrottle

log = Log("coveflow.agents")


class MalformedInputLog:
    """Logs malformed input without flooding the log or blocking the rest of a batch."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.limiter = LogThrottle()

    def note(self, error: Exception) -> None:
        """Count one report, mail or reply that could not be decoded."""
        count = self.limiter.due(self.clock())
        if count:
            log.warning("reports that can't be read", count=count, why=error)

    def decode_reports(self, bodies: Iterable[bytes]) -> Iterator[Report]:
        """Decode reports, skipping malformed ones so that they do not block their batch."""
        for body in bodies:
            try:
                yield wire.read_report(body)
            except wire.Malformed as error:
                self.note(error)
