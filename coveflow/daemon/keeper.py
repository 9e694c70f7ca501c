"""Machines as the leader keeps them: asked for, silent, suspected, drained and given back."""

from __future__ import annotations

import math
from typing import Any

from coveflow import constants as c
from coveflow.core import planner_state
from coveflow.core.fleet import RentalRequest
from coveflow.core.model import ListedMachine, Machine, Placement
from coveflow.core.zones import GONE, ZoneSample, ZoneTracker
from coveflow.daemon.around import Around
from coveflow.daemon.book import Book
from coveflow.daemon.commands import Drain
from coveflow.daemon.inbox import Inbox
from coveflow.logs import Log

log = Log("coveflow.owner")


def want_fields(want: RentalRequest) -> dict[str, Any]:
    """What the trace has of a request for machines."""
    return {"type": want.flavor, "zone": want.zone, "spot": want.spot, "count": want.count}


class Keeper:
    def __init__(self, around: Around, inbox: Inbox, book: Book) -> None:
        self.around, self.inbox, self.book = around, inbox, book
        self.params = around.settings.params
        self.goals = planner_state.goals_by_class(self.params.objectives)
        workers = self.params.workers
        self.zones = ZoneTracker(workers.cancel_s - c.CONTACT_MARGIN_S + c.SILENT_MARGIN_S)
        self.ticked: float | None = None
        self.many_deaf_at = -math.inf  # when many machines seemed deaf for the last time
        self.woke = -math.inf  # when this process went on after it had stood still

    def rent(self, now: float) -> None:
        """Ask for what the last plan lacks, give back what is idle, move what pays to move."""
        book, tuning = self.book, self.around.tuning
        book.fleet_due = False
        shut = self.zones.unreachable()
        live = {
            name for name in self.goals if name in book.coming and book.coming[name].is_active(now)
        }
        machines = [m for m in book.machines.values() if m.zone not in shut]
        wants, returns = book.fleet.decide(
            now=now,
            machines=machines,
            shortages=book.plan.shortages,
            excluded_zones=shut,
            flavors=list(self.inbox.flavors.values()),
            tuning=tuning,
            # After a take-over, machines that are up already have yet to report.
            fleet_known=book.leading == 1 or now - book.since > 3 * self.params.workers.report_s,
            is_prompt=lambda job: book.jobs[job].spec.workload in live,
            prompt_work_expected=bool(live),
        )
        for want in wants:
            book.tell("asked", **want_fields(want))
            self.around.effects("rent", want)
        if returns:
            self.give_back(returns, "idle")
        self._drain_nearly_empty(machines, now)

    def _drain_nearly_empty(self, machines: list[Machine], now: float) -> None:
        book, cycle_s = self.book, self.around.tuning.cycle_s

        def left_s(p: Placement) -> float:
            return planner_state.remaining_run_time(
                p.running_since, book.jobs[p.job].predicted_s, now, p.overrun, cycle_s
            )

        shortages = book.plan.shortages
        for name in book.fleet.choose_drains(
            now, machines, shortages, left_s, book.jobs.__getitem__
        ):
            m = book.machines[name]
            m.draining = True
            log.info("machine drains", machine=name, tasks=len(m.placements))
            book.tell("drained", machine=name, why="nearly empty")
            for p in m.placements.values():
                book.stop(p, book.jobs[p.job].spec.save_s + 1.0, "its machine drains")

    def drain(self, command: Drain) -> None:
        """Answered once it is committed. What allows no repeat, or cannot save, runs to its end."""
        m = self.book.machines.get(command.machine)
        if m is None or m.id in self.book.drop:
            command.reply.set_result({"error": f"{command.machine} is no machine of the fleet"})
            return
        m.drained = m.draining = command.on
        self.book.drains.setdefault(m.id, []).append(command)
        self.book.dirty_machines[m.id] = None
        self.book.pass_due = True
        log.info("machine drained by an operator", machine=m.id, on=command.on)
        self.book.tell("drained" if command.on else "resumed", machine=m.id, why="an operator")
        for p in m.placements.values() if command.on else ():
            job = self.book.jobs[p.job]
            if job.may_repeat and job.spec.kind == "array" and job.spec.checkpoint_s > 0:
                self.book.stop(p, job.spec.save_s + 1.0, "its machine drains")

    def give_back(self, names: list[str], why: str) -> None:
        for name in names:
            m = self.book.machines.get(name)
            if m is not None:
                m.returning = True
            log.info("machine goes back", machine=name, why=why)
            self.book.tell("returning", machine=name, why=why)
        self.around.effects("return", names)

    def tick(self, now: float) -> None:
        """What time may cause: machines are given back, and nothing else."""
        if self.ticked is not None and now - self.ticked > c.STOOD_STILL_S:
            # Its clock ran on and nothing was read meanwhile: all looked silent for 15 s, and the
            # whole fleet was to go back. Only that others led by then saved it.
            self.woke = now
            log.warning("stood still", for_s=round(now - self.ticked, 1))
        self.ticked = now
        self._look_at_zones(now)
        silent = self._silent(now)
        if silent:
            self.give_back(silent, "silent, or work on it does not end")
            for name in silent:
                self.book.machines[name].returning_for_silence = True
        suspects = [
            m.id
            for m in self.book.machines.values()
            if m.suspect and not m.placements and not m.returning
        ]
        if suspects:
            self.give_back(suspects, "suspected faulty")
        deaf = self._deaf(now)
        if deaf:
            self.give_back(deaf, "does not hear")
        late = self.book.fleet.pop_overdue_boots(
            now, {f.name: f for f in self.inbox.flavors.values()}
        )
        if late:
            self.give_back(late, "never came up")

    def still_returned(self, names: list[str]) -> list[str]:
        """Those that are still to go back, of a request that the cloud has not answered yet."""
        machines = self.book.machines
        return [name for name in names if name not in machines or machines[name].returning]

    def overdue(self, names: list[str]) -> list[str]:
        """Those of the machines on which cancelled work may be that has to be gone soon."""
        jobs, machines = self._overdue_jobs(), self.book.machines
        return [
            name for name in names
            if name in machines and any(p.job in jobs for p in machines[name].placements.values())
        ]  # fmt: skip

    def _overdue_jobs(self) -> set[str]:
        """Jobs cancelled so long ago that machines with unproven ends have to go back.

        A leader that has just begun first hears a round of reports, where the limit allows or is
        over anyway: after an outage all that had ended in it was overdue at once, and 166 machines
        went back 0.4 s into a lead, whose reports had the ends.
        """
        cancel_s = self.params.workers.cancel_s
        waits_s = self.book.since + c.FIRST_REPORTS * self.params.workers.report_s
        waits_s -= self.around.clock()
        wall = self.around.wall()
        late = wall - cancel_s * c.CANCEL_RETURN_PART
        in_time = wall - cancel_s + c.CONTACT_MARGIN_S + max(0.0, waits_s)
        over = wall - cancel_s
        return {
            job.id
            for job in self.book.jobs.values()
            if job.cancelled is not None
            and job.cancelled < late
            and (waits_s <= 0.0 or over < job.cancelled <= in_time)
        }

    def _silent(self, now: float) -> list[str]:
        """Machines to give back as they fell silent, or as cancelled work there does not end."""
        overdue = self._overdue_jobs()
        unheard_s = self._unheard_patience()
        many_deaf, _ = self._many_deaf()
        silent: list[str] = []
        lost: dict[str, list[Machine]] = {}  # silent ones of zones that are gone
        for m in self.book.machines.values():
            if m.returning:
                continue
            taken = m.ends_at is not None and now > m.ends_at
            if self._is_silent(m, now, taken, unheard_s, many_deaf):
                if not taken and self.zones.get(m.zone).state == GONE:
                    lost.setdefault(m.zone, []).append(m)
                else:
                    silent.append(m.id)
                    continue
            # Cancelled work whose end nothing proves must be gone before the user's limit.
            if overdue and any(p.job in overdue for p in m.placements.values()):
                silent.append(m.id)
        for name, machines in lost.items():
            silent += self._of_a_lost_zone(name, machines, set(silent))
        return silent

    def _unheard_patience(self) -> float:
        """s for which a machine may be silent that this leader never heard."""
        workers = self.params.workers
        patience = workers.lease_s + c.SILENT_MARGIN_S
        if self.around.peers_known():
            return patience
        # A node that cannot be asked may be the old leader and still answer its workers, for
        # as long as its knowledge of cancellations lets it. They come here after that.
        return patience + workers.cancel_s - workers.lease_s - c.CONTACT_MARGIN_S

    def _is_silent(
        self, m: Machine, now: float, taken: bool, unheard_s: float, many_deaf: set[str]
    ) -> bool:
        """Whether the machine has been silent for long, and no peer hears it.

        `taken`: its notice is over, so that the cloud has it back by now.
        """
        lease_s = self.params.workers.lease_s
        quiet = now - max(m.last_report_at, m.last_vouched_at, self.woke)
        if quiet > c.NOTICE_SILENT_S:  # hardly any is, and only those cost another look
            quiet = min(quiet, now - self.zones.heard_again_at(m.zone))
        if quiet <= c.NOTICE_SILENT_S:  # the shortest of all patiences
            return False
        late = quiet > (lease_s + c.SILENT_MARGIN_S if m.counter >= 0 else unheard_s)
        late = late and not self.zones.defers_release(m.zone)
        late = late and not self._may_be_deaf(m, now, many_deaf)
        return (late or taken) and not self.around.peer_hears(m.id, lease_s, m.newest_report)

    def _may_be_deaf(self, m: Machine, now: float, many_deaf: set[str]) -> bool:
        """Whether its reports come, though none shows that it was sent in this lead.

        They may be copies, of a machine that is gone. A deaf one waits for each answer before it
        reports again; it went back as silent a lease after a change of the lead, before the new
        leader could tell that it is deaf.
        """
        hearing = m.answer_receipt
        if now - hearing.reported_at >= self.book.patience:
            return False
        answered = (
            now - hearing.answered_at < c.DEAF_GIVE_UP_S
        )  # and had no time yet to show that it heard
        paced = hearing.after_timeout and (hearing.suspected or answered)
        return m.id in many_deaf or hearing.task_limit > 0 or paced

    def _many_deaf(self) -> tuple[set[str], int]:
        """Machines that seem deaf, where many do: the way to them is cut, and that comes back.

        With it how many may go back at a time.
        """
        machines = self.book.machines.values()
        deaf = {m.id for m in machines if m.answer_receipt.excluded_from_work}
        most = max(1, int(c.DEAF_PART * len(machines)))
        return (deaf if len(deaf) > most else set(), most)

    def _deaf(self, now: float) -> list[str]:
        """Those that hear nothing for long, never more than a part of the fleet at a time."""
        many, most = self._many_deaf()
        if many:
            self.many_deaf_at = now
        wait_s = self.params.workers.lease_s * (c.DEAF_MANY_LEASES if many else c.DEAF_LEASES)
        deaf = [
            (m.answer_receipt.not_receiving_since, m.id, m.returning)
            for m in self.book.machines.values()
            if m.answer_receipt.not_receiving_since is not None
        ]
        # The last of many to hear again were given back as if they had been few from the beginning.
        few_since = -math.inf if many else self.many_deaf_at
        due = sorted(row for row in deaf if not row[2] and now - max(row[0], few_since) > wait_s)
        room = most - sum(returning for _, _, returning in deaf)
        return [name for _, name, _ in due[: max(0, room)]]

    def _of_a_lost_zone(self, name: str, machines: list[Machine], chosen: set[str]) -> list[str]:
        """The next of its machines to go back: those whose work is most worth beginning anew."""
        zone = self.zones.get(name)
        jobs = self.book.jobs

        def worth(m: Machine) -> tuple[float, float, str]:
            due = sum(jobs[p.job].spec.deadline_s is not None for p in m.placements.values())
            return (-due, m.cpus - m.flavor.cpus, m.id)

        left = [m for m in machines if m.id not in chosen]
        going = sorted(left, key=worth)[: int(zone.release_allowance)]
        zone.release_allowance -= len(going)
        return [m.id for m in going]

    def _look_at_zones(self, now: float) -> None:
        """Judge each zone by who is heard there, and tell of what changed."""
        seen = {name: ZoneSample() for name in self.params.zones}
        quiet_s = 2 * self.params.workers.report_s + c.ZONE_QUIET_S
        for m in self.book.machines.values():
            if m.returning:
                continue
            of = seen.setdefault(m.zone, ZoneSample())
            heard = max(m.last_report_at, m.last_vouched_at)
            of.machines += 1
            of.silent_machines += now - heard > quiet_s
            of.last_heard = max(of.last_heard, heard)
        for member in self.around.settings.members:
            if member.zone in seen and member.name != self.around.settings.name:
                seen[member.zone].lost_controllers += not self.around.peer_fresh(member.name)
        for name, zone, before in self.zones.update(now, seen):
            of = seen[name]
            log.warning(
                "zone", zone=name, state=zone.state, before=before, silent=of.silent_machines,
                machines=of.machines, inside=of.lost_controllers, for_s=round(now - zone.cut_at, 1),
            )  # fmt: skip
            self.book.fleet_due = True

    def gone(self, name: str, why: str) -> None:
        """The cloud answered that the machine and everything on it are gone."""
        book = self.book
        book.gone[name] = self.around.clock()
        book.tell("returned", machine=name)
        if len(book.gone) > c.GONE_KEPT:
            book.gone.popitem(last=False)
        book.fleet.mark_gone(name)
        m = book.machines.get(name)
        if m is None:
            return
        waiting = book.held.pop(name, None)
        if waiting is not None:
            waiting.give(None)
        book.lost(m, f"its machine was {why}")
        m.up = False
        book.drop[name] = None
        book.dirty_machines[name] = None
        book.pass_due = True

    def listed(self, rows: list[ListedMachine], now: float) -> None:
        """The cloud's list: machines that failed go back, unknown ones are awaited."""
        book = self.book
        stray: list[str] = []
        for row in rows:
            if row.machine in book.gone:
                continue
            known = book.machines.get(row.machine)
            if known is not None:
                # A new leader counted the least that a machine costs from its own beginning: idle
                # ones stayed for 45 s more after each change of the lead.
                known.known_since = min(known.known_since, now - row.age_s)
            if row.state == "failed":
                if known is None or not known.returning:
                    stray.append(row.machine)
            elif known is None and not book.fleet.is_booting(row.machine):
                # Rented by an earlier leader, or by a request that took effect late.
                book.fleet.add_listed(row, now)
        if stray:
            self.give_back(stray, "failed")
