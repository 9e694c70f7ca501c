"""Applies workers' reports, and machines' answers to direct requests, to the leader's state."""

from __future__ import annotations

import asyncio
import math
from typing import Any

from coveflow import constants as c
from coveflow.core import exclusions
from coveflow.core.model import Job, Machine, Placement, Report
from coveflow.daemon.commands import ReportReceived
from coveflow.daemon.context import NodeContext
from coveflow.daemon.inbox import Inbox
from coveflow.daemon.leader_state import LeaderState
from coveflow.daemon.report_answers import ReportAnswers
from coveflow.logs import Log

log = Log("coveflow.owner")

ABSENT_AFTER_TAKEOVER = "not there after a change of the lead"
GONE_AFTER_RESTART = "its machine restarted without it"


def machine_fields(m: Machine) -> dict[str, Any]:
    """Trace fields of a machine."""
    return {"machine": m.id, "type": m.flavor.name, "zone": m.zone, "spot": m.spot}


class Reports:
    def __init__(
        self, context: NodeContext, inbox: Inbox, state: LeaderState, answers: ReportAnswers
    ) -> None:
        self.context, self.inbox, self.state, self.answers = context, inbox, state, answers
        self.params = context.settings.params
        self.any_received = False

    def receive(self, command: ReportReceived) -> None:
        """Process a report, or a copy of one, and arrange its answer."""
        report, reply = command.report, command.reply
        if reply.done():
            return
        state = self.state
        if not state.leading or report.machine in state.gone:
            # A late report of a machine that is proven gone is no evidence.
            reply.set_result(None)
            return
        now = self.context.clock()
        m = state.machines.get(report.machine) or self._register(report, now)
        if m is None:
            reply.set_result(None)
            return
        if m.counter >= 0 and (report.tenure, report.counter) <= m.newest_report:
            self._answer_stale(m, report, reply)
            return
        if report.tenure < m.tenure:
            # The store records a later session, though this leader has no report of it yet.
            reply.set_result(self.context.encode_answer(state.leading, self.inbox.stops(report)))
            return
        self._apply_newer(m, command, now)

    @property
    def _next_report_within_s(self) -> float:
        """s within which a machine that is reachable reports again."""
        return c.FIRST_REPORT_INTERVALS * self.params.workers.report_s

    def _apply_newer(self, m: Machine, command: ReportReceived, now: float) -> None:
        """Process a report newer than all earlier ones of the machine."""
        state, report, reply = self.state, command.report, command.reply
        usable = state.reported_recently(m, now)
        m.address, m.up = report.address, True
        pending = state.pending_answers.pop(m.id, None)
        if pending is not None:
            # The worker has abandoned that report and would not read its answer.
            pending.resolve(None)
        new_session = self._apply_session(m, report)
        self._check_reception(
            m, report, new_session and m.counter >= 0, command.expects_answer, now
        )
        m.counter, m.epoch = report.counter, report.epoch
        alive = report.epoch >= state.leading
        if alive:
            # Sent in this epoch. An older report may be a copy from a machine that is gone: its
            # contents are valid evidence, but no sign of life. A live machine names this epoch in
            # its next report.
            self._mark_alive(m, new_session, now)
        if not usable and state.reported_recently(m, now):
            # Without a pass, machines that report after a new leader's first pass get no work
            # until the next full cycle, 5 s later.
            state.pass_due = True
        if state.unheard:
            self._log_first_reports(m.id, now)
        if report.notice_s is not None:
            self._apply_notice(m, report.notice_s, now)
        has_ends = self._apply_tasks(m, report, now)
        if m.returning and m.returning_for_silence and alive:
            self._cancel_return(m)
        self._save_before_removal(m, now)
        if not command.expects_answer:
            m.answer_receipt.record_redirect(report, now)
            reply.set_result(None)
            return
        may_wait = (
            command.may_wait
            and not m.answer_receipt.missed_answers
            and not m.answer_receipt.not_receiving
            and alive
        )
        self.answers.answer_or_hold(m, report, reply, has_ends, now, may_wait)

    def receive_inspection(self, machine: str, report: Report) -> None:
        """Process a machine's answer to a direct request.

        It is handled like a report, except that absent tasks prove nothing: the machine may still
        be waiting for the answer to an earlier report, which may contain a run order. As the
        machine created the answer after the request, it is alive.
        """
        m, now = self.state.machines.get(machine), self.context.clock()
        if m is None or machine in self.state.gone:
            return
        if report.machine != machine or report.tenure < m.tenure:
            return
        if m.counter >= 0 and (report.tenure, report.counter) <= m.newest_report:
            return
        if m.counter < 0:
            m.last_report_at = min(
                m.last_report_at, now - self.state.report_timeout_s
            )  # gets no work until it reports
        if self._apply_session(m, report):
            m.answer_receipt.record_session_end(self.params.workers.lease_s, now)
        m.counter, m.epoch, m.last_vouched_at = report.counter, report.epoch, now
        if self._apply_tasks(m, report, now, absence=False):
            self.state.pass_due = True
        if m.returning and m.returning_for_silence:
            self._cancel_return(m)

    def _apply_session(self, m: Machine, report: Report) -> bool:
        """Apply a later session, whose start proves that all earlier attempts were killed.

        Returns whether the report's session is later than the known one.
        """
        if report.tenure <= m.tenure:
            return False
        self.state.end_all_attempts(m, "the machine's lease ran out")
        m.tenure = report.tenure
        return True

    def _mark_alive(self, m: Machine, new_session: bool, now: float) -> None:
        """Record a sign of life.

        After a silence, delayed reports arrive first and in a burst. Work placed because of them
        could reach a session that is already over, so the machine gets work `BACK_S` later.
        """
        patience, since = self.state.report_timeout_s, now - m.resumed_at
        if new_session or now - m.last_report_at < patience or c.RESUME_DELAY_S <= since < patience:
            m.last_report_at = now
            return
        m.last_vouched_at = now
        if since >= patience:
            m.resumed_at = now

    def _answer_stale(
        self, m: Machine, report: Report, reply: asyncio.Future[bytes | None]
    ) -> None:
        """Answer a report that is not newer than the last one, without applying it.

        Copies may arrive seconds or several leases late, with an equally old task list, so it is
        ignored and pending answers are not affected. A duplicate of the report whose answer is
        deferred (a home resends it after seeing no answer) receives the same answer.
        """
        if report.tenure == m.tenure:
            self._count_seen(m, report)
        pending = self.state.pending_answers.get(m.id)
        if pending is not None and (report.tenure, report.counter) == m.newest_report:
            pending.duplicates.append(reply)
            return
        # It may not be a copy but come from a machine that restarted its counter; the answer then
        # renews its lease.
        reply.set_result(self.context.encode_answer(self.state.leading, self.inbox.stops(report)))

    def _register(self, report: Report, now: float) -> Machine | None:
        """Add a machine that is not recorded; None while its type is unknown.

        The report may be a copy from a machine that was returned before this epoch. Until a report
        proves that it was sent in this epoch, the machine counts as seen at the start of the epoch,
        like the recorded ones.
        """
        state = self.state
        flavor = self.inbox.flavors.get(report.type)
        if flavor is None:
            return None
        m = state.machines[report.machine] = Machine(
            report.machine, report.address, flavor, report.zone, report.spot
        )
        m.known_since = now
        if 0 < report.epoch < state.leading:
            # Copies of reports must not make a machine eligible for work that an earlier leader
            # returned: the work would wait until the machine is returned once more. A live
            # machine names this epoch in its next report.
            m.last_report_at, m.last_vouched_at = now - state.report_timeout_s, state.since
            m.resumed_at = now - c.RESUME_DELAY_S
        else:
            # A machine rented in this epoch that now boots can't have been returned before it.
            m.last_report_at = (
                now if state.fleet.is_booting(m.id) and not report.epoch else state.since
            )
        m.owner = self.context.settings.name
        state.fleet.mark_up(m.id, now)
        log.info("machine up", machine=m.id, type=m.flavor.name, zone=m.zone)
        state.tell("up", **machine_fields(m))
        return m

    def _check_reception(
        self, m: Machine, report: Report, new_session: bool, wants_answer: bool, now: float
    ) -> None:
        """Update whether answers reach the machine; if not, stop its unstarted attempts.

        Their tasks can then be placed on other machines.
        """
        hearing, lease_s = m.answer_receipt, self.params.workers.lease_s
        if hearing.record_report(
            report, new_session, wants_answer, lease_s, self.state.leading, now
        ):
            log.warning(
                "machine does not hear" if hearing.not_receiving else "machine hears again",
                machine=m.id, tasks=len(m.placements), tenure=report.tenure,
            )  # fmt: skip
            self.state.tell("deaf" if hearing.not_receiving else "hears", machine=m.id)
            self.state.pass_due = True
        if hearing.not_receiving:
            # Absence from a report later than the answer that ordered them proves their end.
            for p in m.placements.values():
                if not p.state and not p.stopping:
                    self.state.stop(p, 0.0, "its machine does not hear")

    def _cancel_return(self, m: Machine) -> None:
        """Cancel the return of a silent machine that reports again before the cloud has answered.

        During a cloud outage such requests waited for 40 s, and 345 machines that had been
        reporting again for half a minute, without getting work, were returned when it ended.
        If the cloud has carried out the request after all, the machine falls silent again.
        """
        jobs = self.state.jobs
        if any(jobs[p.job].cancelled is not None for p in m.placements.values()):
            return  # cancelled work must end within its time limit
        m.returning = m.returning_for_silence = False
        log.info("machine stays", machine=m.id, why="heard again")
        self.state.tell("kept", machine=m.id)
        self.state.pass_due = True

    def _log_first_reports(self, machine: str, now: float) -> None:
        """Log the first report of this epoch, and when all recorded machines have reported."""
        state = self.state
        if not self.any_received:
            self.any_received = True
            log.info("first report", epoch=state.leading, after_s=now - state.since)
        state.unheard.discard(machine)
        state.unheard.intersection_update(state.machines)  # some were returned without a report
        if not state.unheard:
            log.info("all machines heard", epoch=state.leading, after_s=now - state.since)

    def _apply_tasks(self, m: Machine, report: Report, now: float, absence: bool = True) -> bool:
        """Apply the report's task list; returns whether it proves the end of any attempt.

        With `absence` False, only the tasks that it lists are evidence.
        """
        has_ends = False
        seen: set[tuple[str, int, int]] = set()
        for t in report.tasks:
            key = (t.job, t.task, t.number)
            seen.add(key)
            p = m.placements.get(key)
            if p is not None:
                self._note_shown(p, t.state)
            if p is None or self._precedes_start(report, p):
                continue
            if t.state == "exited":
                if not self._is_exit_proven(p, now):
                    continue
                has_ends = True
                self._apply_exit(m, p, t.why or "", t.saved, now)
                continue
            if p.state != t.state == "waiting":
                p.state = t.state
                self.state.image_fetched(p)
            p.state = t.state
            if t.state == "running" and p.running_since is None:
                p.running_since = now
                self.state.tell("running", job=t.job, task=t.task, number=t.number, machine=m.id)
        for p in [p for p in m.placements.values() if absence and p.key not in seen]:
            # Absence proves that the attempt never started only if the worker has already adopted
            # the current epoch (so no older leader's answer can still take effect) and this
            # report is newer than the one whose answer last carried the run order.
            if report.epoch != self.state.leading or report.counter <= p.sent_with_report:
                continue
            if p.state and not p.stopping:
                has_ends |= self._count_missing(p, now)
                continue
            may_have_run = self.state.jobs[p.job].may_have_run_unreported(p)
            if p.stopping or may_have_run:
                has_ends = True
                self.state.end(p, False, ABSENT_AFTER_TAKEOVER if may_have_run else "never started")
        self._count_proven_runs(m, now)
        return has_ends

    def _count_missing(self, p: Placement, now: float) -> bool:
        """End an attempt that its machine showed before and lacks now: the machine restarted.

        The restarted process counts its reports from one, so late reports of the earlier process
        can pass for its own. The attempt ends if none shows it for as long as a report takes.
        Returns whether it ended.
        """
        if p.missing_since is None:
            p.missing_since = now
        if now - p.missing_since < self._next_report_within_s:
            return False
        self.state.end(p, False, GONE_AFTER_RESTART)
        self.state.gang_ended(p, False)
        return True

    def _is_exit_proven(self, p: Placement, now: float) -> bool:
        """Whether a reported exit is of the last start that was sent.

        A start is sent again if a report lacks it: its answer was lost, or the machine carried it
        out and restarted. Then an exit may be told by a late report of the earlier process. The
        machine repeats its own exit until it is cleared, so one counts if it is still reported,
        and no report shows the attempt, after as long as a report takes.
        """
        if not p.sent_again:
            return True
        if p.exit_seen_at is None:
            p.exit_seen_at = now
        return now - p.exit_seen_at >= self._next_report_within_s

    def _note_shown(self, p: Placement, state: str) -> None:
        """Note that a report shows the attempt in this state."""
        p.missing_since = None
        if state != "exited":
            p.exit_seen_at = None

    def _count_seen(self, m: Machine, report: Report) -> None:
        """Note attempts that an older report shows; it may be of a process that counts anew."""
        for t in report.tasks:
            p = m.placements.get((t.job, t.task, t.number))
            if p is not None and t.state != "exited":
                self._note_shown(p, t.state)

    def _precedes_start(self, report: Report, p: Placement) -> bool:
        """Whether the report is older than the start of an attempt that this leader sent.

        A machine that carried out the run order knows this leader's epoch. Without it, the report
        is from a process of the machine that has restarted under an old session since, and proves
        nothing of the attempt, even if it names an earlier start of it.
        """
        return p.sent_with_report >= 0 and report.epoch < self.state.leading

    def _apply_exit(self, m: Machine, p: Placement, why: str, saved: bool, now: float) -> None:
        job = self.state.jobs[p.job]
        done = why == "done"
        # A task resumed from a checkpoint ran only part of its work here.
        uninterrupted = job.spec.checkpoint_s <= 0 or p.number == 1
        if done and p.running_since is not None and uninterrupted:
            run_s = max(now - p.running_since, 0.1)
            if job.run_count >= 5:
                # A machine's speed is estimated only against completed tasks of the same job.
                m.slowdown_samples += 1
                ratio = min(max(run_s * job.run_count / job.run_sum, 0.3), 4.0)
                m.slowdown += (ratio - m.slowdown) / min(m.slowdown_samples + 4, 20)
            job.run_sum += run_s
            job.run_count += 1
        self.state.end(p, done, why, saved)
        self.state.gang_ended(p, done, why)
        if done:
            exclusions.record_completion(job, m, p, now)
        elif why == "error":
            self._count_failure(m, job, p, now)
        elif why in ("full", "busy", "unknown"):
            job.not_before = max(job.not_before, now + 1.0)

    def _count_failure(self, m: Machine, job: Job, p: Placement, now: float) -> None:
        if exclusions.record_failure(job, m, p, self.state.machines.values(), now):
            failures = m.failures.jobs
            log.warning("machine suspected", machine=m.id, failed_jobs=len(failures))
            self.state.tell("suspected", machine=m.id, failures=dict(failures))

    def _count_proven_runs(self, m: Machine, now: float) -> None:
        """End exclusions of the machine once an attempt placed after them has run long enough."""
        if m.failures.last_at == -math.inf:
            return
        suspected = m.failures.suspected
        for p in m.placements.values():
            exclusions.record_running(self.state.jobs[p.job], m, p, now)
        if suspected and not m.failures.suspected:
            log.info("machine no longer suspected", machine=m.id)
            self.state.pass_due = True

    def _apply_notice(self, m: Machine, notice_s: float, now: float) -> None:
        """Record when the cloud reclaims the machine; repeated notices differ slightly."""
        ends = now + notice_s
        if m.ends_at is None:
            log.info("machine has notice", machine=m.id, in_s=notice_s)
            self.state.tell("notice", machine=m.id, in_s=notice_s)
        m.ends_at = ends if m.ends_at is None else min(m.ends_at, ends)

    def _save_before_removal(self, m: Machine, now: float) -> None:
        """Stop tasks in time to save their progress before the cloud reclaims a spot machine."""
        if m.ends_at is None:
            return
        for p in m.placements.values():
            job = self.state.jobs[p.job]
            if p.stopping or job.spec.checkpoint_s <= 0 or not job.may_repeat:
                continue
            # The actual notice may be half as long as announced, so saving starts at half time.
            if m.ends_at - now <= 2 * (job.spec.save_s + c.DRAIN_MARGIN_S):
                self.state.stop(p, job.spec.save_s + 1.0, "its machine has notice")
