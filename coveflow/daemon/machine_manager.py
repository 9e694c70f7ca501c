"""The leader's management of machines: renting, silence, faults, draining and returning."""

from __future__ import annotations

import math
from typing import Any

from coveflow import constants as c
from coveflow.core import planner_state
from coveflow.core.fleet import RentalRequest
from coveflow.core.model import ListedMachine, Machine, Placement
from coveflow.core.zones import GONE, ZoneSample, ZoneTracker
from coveflow.daemon.commands import DrainRequest
from coveflow.daemon.context import NodeContext
from coveflow.daemon.inbox import Inbox
from coveflow.daemon.leader_state import LeaderState
from coveflow.logs import Log

log = Log("coveflow.owner")


def want_fields(want: RentalRequest) -> dict[str, Any]:
    """Trace fields of a request for machines."""
    return {"type": want.flavor, "zone": want.zone, "spot": want.spot, "count": want.count}


class MachineManager:
    def __init__(self, context: NodeContext, inbox: Inbox, state: LeaderState) -> None:
        self.context, self.inbox, self.state = context, inbox, state
        self.params = context.settings.params
        self.goals = planner_state.goals_by_class(self.params.objectives)
        workers = self.params.workers
        self.zones = ZoneTracker(workers.cancel_s - c.CONTACT_MARGIN_S + c.SILENT_MARGIN_S)
        self.ticked: float | None = None
        self.last_many_not_receiving = -math.inf  # when many machines last seemed unreachable
        self.resumed_at = -math.inf  # when this process last resumed after a pause

    def adjust_fleet(self, now: float) -> None:
        """Rent what the last plan lacks, return idle machines, drain nearly empty ones."""
        state, tuning = self.state, self.context.tuning
        state.rental_due = False
        unreachable_zones = self.zones.unreachable()
        active_classes = {
            name
            for name in self.goals
            if name in state.arrival_history and state.arrival_history[name].is_active(now)
        }
        machines = [m for m in state.machines.values() if m.zone not in unreachable_zones]
        wants, returns = state.fleet.decide(
            now=now,
            machines=machines,
            shortages=state.plan.shortages,
            excluded_zones=unreachable_zones,
            flavors=list(self.inbox.flavors.values()),
            tuning=tuning,
            # After a takeover, machines that are already up have yet to report.
            fleet_known=state.leading == 1 or now - state.since > 3 * self.params.workers.report_s,
            is_prompt=lambda job: state.jobs[job].spec.workload in active_classes,
            prompt_work_expected=bool(active_classes),
        )
        for want in wants:
            state.tell("asked", **want_fields(want))
            self.context.effects("rent", want)
        if returns:
            self.return_machines(returns, "idle")
        self._drain_nearly_empty(machines, now)

    def _drain_nearly_empty(self, machines: list[Machine], now: float) -> None:
        state, cycle_s = self.state, self.context.tuning.cycle_s

        def left_s(p: Placement) -> float:
            return planner_state.remaining_run_time(
                p.running_since, state.jobs[p.job].predicted_s, now, p.overrun, cycle_s
            )

        shortages = state.plan.shortages
        for name in state.fleet.choose_drains(
            now, machines, shortages, left_s, state.jobs.__getitem__
        ):
            m = state.machines[name]
            m.draining = True
            log.info("machine drains", machine=name, tasks=len(m.placements))
            state.tell("drained", machine=name, why="nearly empty")
            for p in m.placements.values():
                state.stop(p, state.jobs[p.job].spec.save_s + 1.0, "its machine drains")

    def drain(self, command: DrainRequest) -> None:
        """Apply an operator's drain request; replied to after the commit.

        Tasks that must not be repeated, or cannot save their progress, run to completion.
        """
        m = self.state.machines.get(command.machine)
        if m is None or m.id in self.state.machines_to_delete:
            command.reply.set_result({"error": f"{command.machine} is no machine of the fleet"})
            return
        m.drained = m.draining = command.on
        self.state.drains.setdefault(m.id, []).append(command)
        self.state.dirty_machines[m.id] = None
        self.state.pass_due = True
        log.info("machine drained by an operator", machine=m.id, on=command.on)
        self.state.tell("drained" if command.on else "resumed", machine=m.id, why="an operator")
        for p in m.placements.values() if command.on else ():
            job = self.state.jobs[p.job]
            if job.may_repeat and job.spec.kind == "array" and job.spec.checkpoint_s > 0:
                self.state.stop(p, job.spec.save_s + 1.0, "its machine drains")

    def return_machines(self, names: list[str], why: str) -> None:
        for name in names:
            m = self.state.machines.get(name)
            if m is not None:
                m.returning = True
            log.info("machine goes back", machine=name, why=why)
            self.state.tell("returning", machine=name, why=why)
        self.context.effects("return", names)

    def tick(self, now: float) -> None:
        """Apply timeouts, which may only cause machines to be returned."""
        if self.ticked is not None and now - self.ticked > c.PROCESS_PAUSED_S:
            # The process was paused while its clock went on. Without this check all machines look
            # silent: after a pause of 15 s a leader tried to return the whole fleet, prevented
            # only because another node had become leader by then.
            self.resumed_at = now
            log.warning("stood still", for_s=round(now - self.ticked, 1))
        self.ticked = now
        self._update_zones(now)
        silent = self._silent(now)
        if silent:
            self.return_machines(silent, "silent, or work on it does not end")
            for name in silent:
                self.state.machines[name].returning_for_silence = True
        suspects = [
            m.id
            for m in self.state.machines.values()
            if m.failures.suspected and not m.placements and not m.returning
        ]
        if suspects:
            self.return_machines(suspects, "suspected faulty")
        not_receiving = self._not_receiving_too_long(now)
        if not_receiving:
            self.return_machines(not_receiving, "does not hear")
        not_booted = self.state.fleet.pop_overdue_boots(
            now, {f.name: f for f in self.inbox.flavors.values()}
        )
        if not_booted:
            self.return_machines(not_booted, "never came up")

    def still_to_return(self, names: list[str]) -> list[str]:
        """The machines of an unanswered return request that should still be returned."""
        machines = self.state.machines
        return [name for name in names if name not in machines or machines[name].returning]

    def with_overdue_work(self, names: list[str]) -> list[str]:
        """The machines that may still run cancelled work close to its time limit."""
        jobs, machines = self._overdue_jobs(), self.state.machines
        return [
            name for name in names
            if name in machines and any(p.job in jobs for p in machines[name].placements.values())
        ]  # fmt: skip

    def _overdue_jobs(self) -> set[str]:
        """Jobs cancelled so long ago that machines with unproven ends must be returned.

        A new leader first waits for a round of reports, if the limit permits or has passed anyway:
        after an outage all work that ended during it is overdue at once, and 166 machines were
        returned 0.4 s into an epoch although their reports contained the ends.
        """
        cancel_s = self.params.workers.cancel_s
        report_wait_s = self.state.since + c.FIRST_REPORT_INTERVALS * self.params.workers.report_s
        report_wait_s -= self.context.clock()
        wall = self.context.wall()
        return_before = wall - cancel_s * c.CANCEL_RETURN_SHARE
        in_time = wall - cancel_s + c.CONTACT_MARGIN_S + max(0.0, report_wait_s)
        limit_before = wall - cancel_s
        return {
            job.id
            for job in self.state.jobs.values()
            if job.cancelled is not None
            and job.cancelled < return_before
            and (report_wait_s <= 0.0 or limit_before < job.cancelled <= in_time)
        }

    def _silent(self, now: float) -> list[str]:
        """Machines to return because they are silent or because cancelled work does not end."""
        overdue = self._overdue_jobs()
        unheard_s = self._unheard_timeout_s()
        not_receiving, _ = self._many_not_receiving()
        silent: list[str] = []
        in_lost_zones: dict[str, list[Machine]] = {}  # silent machines of zones considered lost
        for m in self.state.machines.values():
            if m.returning:
                continue
            reclaimed = m.ends_at is not None and now > m.ends_at
            if self._is_silent(m, now, reclaimed, unheard_s, not_receiving):
                if not reclaimed and self.zones.get(m.zone).state == GONE:
                    in_lost_zones.setdefault(m.zone, []).append(m)
                else:
                    silent.append(m.id)
                    continue
            # Cancelled work without a proven end must be gone before the user's time limit.
            if overdue and any(p.job in overdue for p in m.placements.values()):
                silent.append(m.id)
        for name, machines in in_lost_zones.items():
            silent += self._returns_in_lost_zone(name, machines, set(silent))
        return silent

    def _unheard_timeout_s(self) -> float:
        """s for which a machine may be silent from which this leader has had no report."""
        workers = self.params.workers
        patience = workers.lease_s + c.SILENT_MARGIN_S
        if self.context.all_peers_answer():
            return patience
        # An unreachable node may be the previous leader and still answer its workers, for as long
        # as its knowledge of cancellations is recent enough. They report here after that.
        return patience + workers.cancel_s - workers.lease_s - c.CONTACT_MARGIN_S

    def _is_silent(
        self, m: Machine, now: float, reclaimed: bool, unheard_s: float, not_receiving: set[str]
    ) -> bool:
        """Whether the machine has been silent for too long and no peer receives its reports.

        `reclaimed`: its notice period has passed, so the cloud has reclaimed it by now.
        """
        lease_s = self.params.workers.lease_s
        silent_s = now - max(m.last_report_at, m.last_vouched_at, self.resumed_at)
        if silent_s > c.NOTICE_SILENT_S:  # rare, so only these need the costlier zone check
            silent_s = min(silent_s, now - self.zones.heard_again_at(m.zone))
        if silent_s <= c.NOTICE_SILENT_S:  # the shortest of all timeouts
            return False
        timed_out = silent_s > (lease_s + c.SILENT_MARGIN_S if m.counter >= 0 else unheard_s)
        timed_out = timed_out and not self.zones.defers_release(m.zone)
        timed_out = timed_out and not self._may_not_receive(m, now, not_receiving)
        return (timed_out or reclaimed) and not self.context.peer_has_newer_report(
            m.id, lease_s, m.newest_report
        )

    def _may_not_receive(self, m: Machine, now: float, not_receiving: set[str]) -> bool:
        """Whether reports arrive, but none that shows that it was sent in this epoch.

        They may be copies from a machine that is gone, or come from one that receives no answers.
        The latter waits for each answer before it reports again; without this check it would be
        returned as silent one lease after a change of leader, before the new leader can detect
        that it receives nothing.
        """
        hearing = m.answer_receipt
        if now - hearing.reported_at >= self.state.report_timeout_s:
            return False
        answered = (
            now - hearing.answered_at < c.WORKER_GIVE_UP_S
        )  # too recent for an effect to be visible
        paced = hearing.after_timeout and (hearing.suspected or answered)
        return m.id in not_receiving or hearing.task_limit > 0 or paced

    def _many_not_receiving(self) -> tuple[set[str], int]:
        """Machines that seem to receive nothing, if many do, and how many may be returned at once.

        If many are affected, the network path to them is interrupted, which is temporary.
        """
        machines = self.state.machines.values()
        not_receiving = {m.id for m in machines if m.answer_receipt.excluded_from_work}
        limit = max(1, int(c.NOT_RECEIVING_RETURN_SHARE * len(machines)))
        return (not_receiving if len(not_receiving) > limit else set(), limit)

    def _not_receiving_too_long(self, now: float) -> list[str]:
        """Machines that received nothing for too long; at most a part of the fleet at a time."""
        widespread, limit = self._many_not_receiving()
        if widespread:
            self.last_many_not_receiving = now
        wait_s = self.params.workers.lease_s * (
            c.NOT_RECEIVING_MANY_LEASES if widespread else c.NOT_RECEIVING_LEASES
        )
        candidates = [
            (m.answer_receipt.not_receiving_since, m.id, m.returning)
            for m in self.state.machines.values()
            if m.answer_receipt.not_receiving_since is not None
        ]
        # The wait restarts when few remain: otherwise the last ones of many to recover would be
        # returned as if only few had been affected from the beginning.
        few_since = -math.inf if widespread else self.last_many_not_receiving
        due = sorted(
            row for row in candidates if not row[2] and now - max(row[0], few_since) > wait_s
        )
        quota = limit - sum(returning for _, _, returning in candidates)
        return [name for _, name, _ in due[: max(0, quota)]]

    def _returns_in_lost_zone(
        self, name: str, machines: list[Machine], chosen: set[str]
    ) -> list[str]:
        """The next machines of a lost zone to return: first those most worth replacing.

        These have the most tasks with a deadline, then the most CPUs in use.
        """
        zone = self.zones.get(name)
        jobs = self.state.jobs

        def worth(m: Machine) -> tuple[float, float, str]:
            due = sum(jobs[p.job].spec.deadline_s is not None for p in m.placements.values())
            return (-due, m.cpus - m.flavor.cpus, m.id)

        candidates = [m for m in machines if m.id not in chosen]
        selected = sorted(candidates, key=worth)[: int(zone.release_allowance)]
        zone.release_allowance -= len(selected)
        return [m.id for m in selected]

    def _update_zones(self, now: float) -> None:
        """Assess each zone by its silent machines and nodes, and log changes of its state."""
        seen = {name: ZoneSample() for name in self.params.zones}
        quiet_s = 2 * self.params.workers.report_s + c.ZONE_SILENT_S
        for m in self.state.machines.values():
            if m.returning:
                continue
            zone_seen = seen.setdefault(m.zone, ZoneSample())
            heard = max(m.last_report_at, m.last_vouched_at)
            zone_seen.machines += 1
            zone_seen.silent_machines += now - heard > quiet_s
            zone_seen.last_heard = max(zone_seen.last_heard, heard)
        for member in self.context.settings.members:
            if member.zone in seen and member.name != self.context.settings.name:
                seen[member.zone].lost_controllers += not self.context.peer_answers(member.name)
        for name, zone, before in self.zones.update(now, seen):
            zone_seen = seen[name]
            log.warning(
                "zone", zone=name, state=zone.state, before=before,
                silent=zone_seen.silent_machines, machines=zone_seen.machines,
                inside=zone_seen.lost_controllers,
                for_s=round(now - zone.cut_at, 1),
            )  # fmt: skip
            self.state.rental_due = True

    def remove_machine(self, name: str, why: str) -> None:
        """Remove a machine after the cloud confirmed that it and all work on it are gone."""
        state = self.state
        state.gone[name] = self.context.clock()
        state.tell("returned", machine=name)
        if len(state.gone) > c.GONE_MACHINES_KEPT:
            state.gone.popitem(last=False)
        state.fleet.mark_gone(name)
        m = state.machines.get(name)
        if m is None:
            return
        pending = state.pending_answers.pop(name, None)
        if pending is not None:
            pending.resolve(None)
        state.end_all_attempts(m, f"its machine was {why}")
        m.up = False
        state.machines_to_delete[name] = None
        state.dirty_machines[name] = None
        state.pass_due = True

    def apply_cloud_list(self, rows: list[ListedMachine], now: float) -> None:
        """Apply the cloud's machine list: return failed machines, expect unknown ones to boot."""
        state = self.state
        failed: list[str] = []
        for row in rows:
            if row.machine in state.gone:
                continue
            known = state.machines.get(row.machine)
            if known is not None:
                # The minimum rental time counts from the real age: counted from the start of the
                # epoch, idle machines stayed 45 s longer after each change of leader.
                known.known_since = min(known.known_since, now - row.age_s)
            if row.state == "failed":
                if known is None or not known.returning:
                    failed.append(row.machine)
            elif known is None and not state.fleet.is_booting(row.machine):
                # Rented by a previous leader, or by a request that took effect late.
                state.fleet.add_listed(row, now)
        if failed:
            self.return_machines(failed, "failed")
