"""What is remembered of tasks that ended with an error, for each job and each machine. Pure.

A failure excludes the machine: for the job whose task failed, or for all jobs once tasks of several
jobs failed there. An exclusion is a preference with an end. `exclusions` says which machines a job
may use; this module only counts.
"""

from __future__ import annotations

import math

import msgspec

from coveflow import constants as c


def retry_delay_s(failed_retries: int, limit_s: float) -> float:
    """Return the s to wait before an excluded machine is tried again; doubles up to `limit_s`."""
    return min(c.RETRY_DELAY_S * 2.0 ** min(failed_retries, 10), limit_s)


class JobFailures(msgspec.Struct, eq=False):
    """Machines on which tasks of one job failed, and when one of them is tried again.

    All times are in s on the leader's clock.
    """

    failed_at: dict[str, float] = {}  # last failure on each machine
    failed_retries: int = 0  # retries that failed since the last one that succeeded
    retry_at: float = 0.0

    def record_failure(self, machine: str, placed_at: float, now: float) -> None:
        """Exclude the machine; tasks that started before its last failure count once with it."""
        last = self.failed_at.get(machine)
        if last is not None and placed_at <= last:
            return
        if last is not None:
            self.failed_retries += 1
        self.failed_at[machine] = now
        self.retry_at = now + retry_delay_s(self.failed_retries, c.ERROR_BACKOFF_MAX_S)

    def record_success(self, machine: str, placed_at: float, now: float) -> None:
        """Include the machine again if the task that proves it well started after its failure."""
        if placed_at <= self.failed_at.get(machine, math.inf):
            return
        del self.failed_at[machine]
        self.failed_retries = 0
        self.retry_at = now

    def forget_machines(self) -> None:
        """Include all machines again: the job fails on any, so none of them is at fault."""
        self.failed_at.clear()


class MachineFailures(msgspec.Struct, eq=False):
    """Failures of tasks on one machine, and when a suspected machine is tried again.

    All times are in s on the leader's clock.
    """

    jobs: dict[str, int] = {}  # failures by job since a task last completed here
    last_at: float = -math.inf  # last failure of any job
    suspected_at: float | None = None  # None: not suspected
    failed_retries: int = 0  # retries that failed since a task last completed here
    retry_at: float = 0.0

    @property
    def suspected(self) -> bool:
        return self.suspected_at is not None

    def suspect(self, now: float) -> None:
        """Exclude the machine for all jobs until a task of any job is tried on it."""
        self.suspected_at = now
        self.retry_at = now + retry_delay_s(self.failed_retries, c.SUSPECT_RETRY_MAX_S)

    def record_failed_retry(self, now: float) -> None:
        """Prolong the exclusion of a suspected machine."""
        self.failed_retries += 1
        self.suspect(now)

    def forget_job(self, job: str) -> None:
        """Take back the failures of a job that fails on any machine, and a suspicion by them."""
        if self.jobs.pop(job, None) is None:
            return
        most = max(self.jobs.values(), default=0)
        if len(self.jobs) < c.SUSPECT_JOBS and most < c.SUSPECT_TASKS:
            self.suspected_at = None

    def record_success(self, placed_at: float) -> None:
        """End the suspicion if the task that proves the machine well started after its failures.

        The failures stay counted until a task completes: the next one brings the suspicion back.
        """
        if placed_at > self.last_at:
            self.suspected_at = None

    def record_completion(self, placed_at: float) -> None:
        """Forget the failures if the completed task started after all of them."""
        if placed_at > self.last_at:
            self.jobs.clear()
            self.suspected_at = None
            self.failed_retries = 0
