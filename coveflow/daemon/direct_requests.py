"""Direct requests from the leader to machines whose reports do not arrive.

A machine may be unable to reach any controller while requests to its own address reach it. Only
stops of cancelled work are commanded this way (docs/notes/evidence.md); other requests inspect it.
"""

from __future__ import annotations

import msgspec

from coveflow import constants as c
from coveflow.core.model import Machine, Order
from coveflow.daemon.commands import DirectRequest
from coveflow.daemon.context import NodeContext
from coveflow.daemon.leader_state import LeaderState


class RequestState(msgspec.Struct, eq=False):
    """State of the direct requests to one machine since its last report."""

    next_at: float = 0.0  # earliest time of the next request
    pause_s: float = c.DIRECT_RETRY_S
    in_flight: bool = False


class DirectRequests:
    """Schedules direct requests to silent machines, with a backoff per machine."""

    def __init__(self, context: NodeContext, state: LeaderState) -> None:
        self.context, self.state = context, state
        self.requests: dict[str, RequestState] = {}
        workers = context.settings.params.workers
        self.lease_s = workers.lease_s
        # Longest interval between two reports while nothing is wrong.
        self.max_report_gap_s = 1.25 * workers.report_s + c.DIRECT_LATE_S

    def tick(self, now: float) -> None:
        """Send the requests that are due: those with stops first, then the longest overdue."""
        due: list[tuple[bool, float, str, DirectRequest]] = []
        for m in self.state.machines.values():
            silent_s = now - max(m.last_report_at, m.answer_receipt.reported_at)
            if silent_s <= self.max_report_gap_s or m.id in self.state.machines_to_delete:
                self.requests.pop(m.id, None)
                continue
            stops = self._stops(m)
            if not stops and not self._needs_inspection(m, silent_s, now):
                continue
            state = self.requests.setdefault(m.id, RequestState())
            if m.address and not state.in_flight and now >= state.next_at:
                request = DirectRequest(m.id, m.address, self.state.leading, m.tenure, stops)
                due.append((not stops, state.next_at, m.id, request))
        for name in [name for name in self.requests if name not in self.state.machines]:
            del self.requests[name]
        room = c.DIRECT_MAX_IN_FLIGHT - sum(state.in_flight for state in self.requests.values())
        for _, _, name, request in sorted(due)[: max(0, room)]:
            self.requests[name].in_flight = True
            self.context.meters.add("direct requests")
            self.context.effects("direct", request)

    def answered(self, machine: str, reached: bool) -> None:
        state = self.requests.get(machine)
        if state is None:
            return
        state.in_flight = False
        state.next_at = self.context.clock() + state.pause_s
        backoff_s = min(2 * state.pause_s, c.DIRECT_RETRY_MAX_S)
        state.pause_s = c.DIRECT_RETRY_S if reached else backoff_s

    def _stops(self, m: Machine) -> list[Order]:
        """Stops of cancelled jobs' tasks on the machine; harmless however late they arrive."""
        jobs = self.state.jobs
        return [
            Order("stop", *p.key)
            for p in m.placements.values()
            if jobs[p.job].cancelled is not None
        ]

    def _needs_inspection(self, m: Machine, silent_s: float, now: float) -> bool:
        """Whether its session should have expired, and no node vouched for it recently."""
        return silent_s > self.lease_s and now - m.last_vouched_at > self.lease_s / 2
