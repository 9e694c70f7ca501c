"""The orders that any answer renewing a worker's lease must contain, whichever node sends it.

Every 200 answer to a worker renews its lease. A node sends one only while
`Cancellations.may_renew` holds, and it contains the stop orders computed here; a node that is not
the leader sends no other orders.
"""

from __future__ import annotations

from collections.abc import Callable

from coveflow.core.model import Order, Report


def stop_orders(report: Report, cancelled: Callable[[str], bool]) -> list[Order]:
    """Stop orders for all tasks of cancelled jobs in the report: the minimum for any 200 answer.

    `cancelled` tells whether a job is known to be cancelled, from peers or from the store. It must
    combine both sources: a leader that uses the store's list alone misses those from its peers.
    """
    return [
        Order("stop", task.job, task.task, task.number)
        for task in report.tasks
        if task.state != "exited" and cancelled(task.job)
    ]
