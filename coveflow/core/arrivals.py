"""Whether workers still reach a node, judged by the arrival times of their reports.

The module does no I/O and reads no clock: the caller passes the time, in s of the node's clock.
"""

from __future__ import annotations

from coveflow import constants as c
from coveflow.core.failure_detector import AccrualDetector


class Arrivals:
    """Arrival times of the reports to one node, from workers and through other nodes."""

    def __init__(self, report_s: float, began: float) -> None:
        """`report_s`: the report interval of a worker; `began`: when the node started."""
        # Reports directly from workers, and those including batches from other nodes.
        self.worker_reports = AccrualDetector(report_s, c.CUT_MIN_DEVIATION_S)
        self.all_reports = AccrualDetector(report_s, c.CUT_MIN_DEVIATION_S)
        self.cut_since: float | None = None
        self.last_report_at = began  # when a worker last reported, or this node started

    def record_report(self, now: float) -> None:
        """Record a report from a worker."""
        self.last_report_at = now
        self.worker_reports.record(now)
        self.all_reports.record(now)
        self.cut_since = None

    def record_batch(self, now: float) -> None:
        """Record a batch of reports from another node."""
        self.all_reports.record(now)

    def detect_cut(self, now: float, workers: int) -> bool:
        """Whether this call is the first to find the node cut off from its `workers` workers."""
        if self.cut_since is not None or workers < c.CUT_MIN_MACHINES:
            return False
        if self.worker_reports.level(now) < c.SUSPICION_RAISE_LEVEL:
            return False
        self.cut_since = now
        return True

    def is_cut(self, now: float) -> bool:
        """Whether no worker reaches this node any more, though enough of them should."""
        return self.cut_since is not None and now - self.cut_since < c.CUT_KEPT_S

    def is_silent(self, now: float) -> bool:
        """Whether reports from workers and other nodes have stopped, or none ever came."""
        return (
            self.all_reports.level(now) >= c.SUSPICION_RAISE_LEVEL
            or self.all_reports.last_seen is None
        )
