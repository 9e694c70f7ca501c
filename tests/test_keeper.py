"""When a machine is returned for cancelled work without proven end, and when a new leader waits."""

from types import SimpleNamespace

import pytest

from coveflow import constants as c
from coveflow.daemon.machine_manager import MachineManager

CANCEL_S, REPORT_S = 45.0, 3.0
RETURN_AFTER_S = CANCEL_S * c.CANCEL_RETURN_SHARE
FIRST_REPORTS_S = c.FIRST_REPORT_INTERVALS * REPORT_S


def overdue(cancelled_s_ago: float, led_for_s: float) -> bool:
    """Whether machines with unproven ends of a job cancelled that long ago are returned now."""
    now = 1000.0
    job = SimpleNamespace(id="j-000001", cancelled=now - cancelled_s_ago)
    machine_manager = SimpleNamespace(
        params=SimpleNamespace(workers=SimpleNamespace(cancel_s=CANCEL_S, report_s=REPORT_S)),
        context=SimpleNamespace(clock=lambda: now, wall=lambda: now),
        state=SimpleNamespace(since=now - led_for_s, jobs={job.id: job}),
    )
    return MachineManager._overdue_jobs(machine_manager) == {job.id}


@pytest.mark.parametrize(
    ("cancelled_s_ago", "led_for_s", "returned"),
    [
        (RETURN_AFTER_S - 0.1, 100.0, False),
        (RETURN_AFTER_S + 0.1, 100.0, True),
        (RETURN_AFTER_S + 0.1, FIRST_REPORTS_S + 0.1, True),
        # A new leader first waits for a round of reports,
        (RETURN_AFTER_S + 0.1, 0.3, False),
        (CANCEL_S + 10.0, 0.3, False),  # even if the limit has passed,
        # but not if the limit would pass during that time.
        (CANCEL_S - c.CONTACT_MARGIN_S - FIRST_REPORTS_S + 0.5, 0.3, True),
        (CANCEL_S - 0.1, 0.3, True),
        (CANCEL_S + 10.0, FIRST_REPORTS_S + 0.1, True),
    ],
)
def test_machines_with_cancelled_work_are_returned_in_time(cancelled_s_ago, led_for_s, returned):
    """After an outage a new leader returned 166 machines after 0.4 s, before their reports came."""
    assert overdue(cancelled_s_ago, led_for_s) is returned
