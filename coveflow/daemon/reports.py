"""What a leader believes of workers' reports, and of machines' answers to direct requests."""

from __future__ import annotations

import asyncio
from typing import Any

from coveflow import constants as c
from coveflow.core.model import Job, Machine, Placement, Report
from coveflow.daemon.around import Around
from coveflow.daemon.book import Book
from coveflow.daemon.commands import Heard
from coveflow.daemon.inbox import Inbox
from coveflow.daemon.report_answers import ReportAnswers
from coveflow.logs import Log

log = Log("coveflow.owner")

ABSENT = "not there after a change of the lead"


def machine_fields(m: Machine) -> dict[str, Any]:
    """What the trace has of a machine."""
    return {"machine": m.id, "type": m.flavor.name, "zone": m.zone, "spot": m.spot}


class Reports:
    def __init__(self, around: Around, inbox: Inbox, book: Book, answers: ReportAnswers) -> None:
        self.around, self.inbox, self.book, self.answers = around, inbox, book, answers
        self.params = around.settings.params
        self.any_heard = False

    def heard(self, command: Heard) -> None:
        """Take in a report, or a copy of one, and see to its answer."""
        report, reply = command.report, command.reply
        if reply.done():
            return
        book = self.book
        if not book.leading or report.machine in book.gone:
            # A late report of a machine that was proven gone proves nothing any more.
            reply.set_result(None)
            return
        now = self.around.clock()
        m = book.machines.get(report.machine) or self._new(report, now)
        if m is None:
            reply.set_result(None)
            return
        if m.counter >= 0 and (report.tenure, report.counter) <= m.newest_report:
            self._late(m, report, reply)
            return
        if report.tenure < m.tenure:
            # On record with a later session, though this leader has yet to hear it.
            reply.set_result(self.around.answer(book.leading, self.inbox.stops(report)))
            return
        self._newer(m, command, now)

    def _newer(self, m: Machine, command: Heard, now: float) -> None:
        """A report newer than all that this leader had of the machine."""
        book, report, reply = self.book, command.report, command.reply
        usable = book.heard_lately(m, now)
        m.address, m.up = report.address, True
        waiting = book.held.pop(m.id, None)
        if waiting is not None:
            # The worker gave that report up; an answer would not be read.
            waiting.give(None)
        rose = self._rose(m, report)
        self._listens(m, report, rose and m.counter >= 0, command.asked, now)
        m.counter, m.epoch = report.counter, report.epoch
        alive = report.epoch >= book.leading
        if alive:
            # Sent since this lead began. An older one may be a copy, of a machine that is gone:
            # what it says was so, but it keeps nothing alive. If it is none, the next one tells.
            self._alive(m, rose, now)
        if not usable and book.heard_lately(m, now):
            # Machines first heard after a new leader's first pass had their room used by the next
            # full cycle only, 5 s later.
            book.pass_due = True
        if book.unheard:
            self._first_heard(m.id, now)
        if report.notice_s is not None:
            self._noticed(m, report.notice_s, now)
        news = self._tasks(m, report, now)
        if m.returning and m.returning_for_silence and alive:
            self._spare(m)
        self._drain(m, now)
        if not command.asked:
            m.answer_receipt.record_redirect(report, now)
            reply.set_result(None)
            return
        patient = (
            command.patient
            and not m.answer_receipt.missed_answers
            and not m.answer_receipt.not_receiving
            and alive
        )
        self.answers.answer_or_hold(m, report, reply, news, now, patient)

    def inspected(self, machine: str, report: Report) -> None:
        """A machine's answer to a direct request: as its reports are, but for absence.

        The machine made it after the request, so it is there. It may still wait for the answer to
        an earlier report, with a run in it: what is absent here may yet begin.
        """
        m, now = self.book.machines.get(machine), self.around.clock()
        if m is None or machine in self.book.gone:
            return
        if report.machine != machine or report.tenure < m.tenure:
            return
        if m.counter >= 0 and (report.tenure, report.counter) <= m.newest_report:
            return
        if m.counter < 0:
            m.last_report_at = min(
                m.last_report_at, now - self.book.patience
            )  # no work until it reports
        if self._rose(m, report):
            m.answer_receipt.record_session_end(self.params.workers.lease_s, now)
        m.counter, m.epoch, m.last_vouched_at = report.counter, report.epoch, now
        if self._tasks(m, report, now, absence=False):
            self.book.pass_due = True
        if m.returning and m.returning_for_silence:
            self._spare(m)

    def _rose(self, m: Machine, report: Report) -> bool:
        """Whether its session is a later one: it has killed and forgotten all it ran before."""
        if report.tenure <= m.tenure:
            return False
        self.book.lost(m, "the machine's lease ran out")
        m.tenure = report.tenure
        return True

    def _alive(self, m: Machine, rose: bool, now: float) -> None:
        """It is there. After a silence, reports that were held back come first, and all at once.

        Work placed by these once met a session that was over. A moment later it is given some.
        """
        patience, since = self.book.patience, now - m.resumed_at
        if rose or now - m.last_report_at < patience or c.BACK_S <= since < patience:
            m.last_report_at = now
            return
        m.last_vouched_at = now
        if since >= patience:
            m.resumed_at = now

    def _late(self, m: Machine, report: Report, reply: asyncio.Future[bytes | None]) -> None:
        """No news of the machine, and nothing that another report waits for is touched.

        A copy of it may come from seconds to leases later. It is answered, not believed: its task
        list is as old as the report. The very report that waits, which a home sends again when it
        saw no answer, gets what that one gets.
        """
        held = self.book.held.get(m.id)
        if held is not None and (report.tenure, report.counter) == m.newest_report:
            held.again.append(reply)
            return
        # It may be no copy but a machine that counts from the beginning, whose lease this renews.
        reply.set_result(self.around.answer(self.book.leading, self.inbox.stops(report)))

    def _new(self, report: Report, now: float) -> Machine | None:
        """A machine that is not on record; None while its type is not known.

        A copy may also name one that was returned before this leader led. Until a report shows that
        it was sent since then, it is no more alive than those on record at the beginning.
        """
        book = self.book
        flavor = self.inbox.flavors.get(report.type)
        if flavor is None:
            return None
        m = book.machines[report.machine] = Machine(
            report.machine, report.address, flavor, report.zone, report.spot
        )
        m.known_since = now
        if 0 < report.epoch < book.leading:
            # Machines that an earlier leader had given back were given work by their copies, which
            # waited for them to go back again. One that is there names this lead with its next.
            m.last_report_at, m.last_vouched_at = now - book.patience, book.since
            m.resumed_at = now - c.BACK_S
        else:
            # One that was rented in this lead and boots can't have been returned before it.
            m.last_report_at = (
                now if book.fleet.is_booting(m.id) and not report.epoch else book.since
            )
        m.owner = self.around.settings.name
        book.fleet.mark_up(m.id, now)
        log.info("machine up", machine=m.id, type=m.flavor.name, zone=m.zone)
        book.tell("up", **machine_fields(m))
        return m

    def _listens(self, m: Machine, report: Report, rose: bool, asked: bool, now: float) -> None:
        """Whether what it is told reaches the machine; if not, what never began there goes on."""
        hearing, lease_s = m.answer_receipt, self.params.workers.lease_s
        if hearing.record_report(report, rose, asked, lease_s, self.book.leading, now):
            log.warning(
                "machine does not hear" if hearing.not_receiving else "machine hears again",
                machine=m.id, tasks=len(m.placements), tenure=report.tenure,
            )  # fmt: skip
            self.book.tell("deaf" if hearing.not_receiving else "hears", machine=m.id)
            self.book.pass_due = True
        if hearing.not_receiving:
            # Their absence, in a report later than the answer that told of them, is the proof.
            for p in m.placements.values():
                if not p.state and not p.stopping:
                    self.book.stop(p, 0.0, "its machine does not hear")

    def _spare(self, m: Machine) -> None:
        """It was to go back for its silence, and the cloud has not answered yet: it may stay.

        With the cloud down such requests waited for 40 s, and 345 machines that had been heard
        again for half a minute, and were given no work meanwhile, went back when it was up again.
        If a request was carried out all the same, its silence tells.
        """
        jobs = self.book.jobs
        if any(jobs[p.job].cancelled is not None for p in m.placements.values()):
            return  # what is cancelled must be gone in time
        m.returning = m.returning_for_silence = False
        log.info("machine stays", machine=m.id, why="heard again")
        self.book.tell("kept", machine=m.id)
        self.book.pass_due = True

    def _first_heard(self, machine: str, now: float) -> None:
        """For the log: from when on this lead hears its fleet."""
        book = self.book
        if not self.any_heard:
            self.any_heard = True
            log.info("first report", epoch=book.leading, after_s=now - book.since)
        book.unheard.discard(machine)
        book.unheard.intersection_update(book.machines)  # some went back unheard
        if not book.unheard:
            log.info("all machines heard", epoch=book.leading, after_s=now - book.since)

    def _tasks(self, m: Machine, report: Report, now: float, absence: bool = True) -> bool:
        """Take in the report's task list; whether it proves any end.

        Without `absence` only what it names is evidence.
        """
        news = False
        seen: set[tuple[str, int, int]] = set()
        for t in report.tasks:
            key = (t.job, t.task, t.number)
            seen.add(key)
            p = m.placements.get(key)
            if p is None:
                continue
            if t.state == "exited":
                news = True
                self._exited(m, p, t.why or "", t.saved, now)
                continue
            if p.state != t.state == "waiting":
                p.state = t.state
                self.book.fetched(p)
            p.state = t.state
            if t.state == "running" and p.running_since is None:
                p.running_since = now
                self.book.tell("running", job=t.job, task=t.task, number=t.number, machine=m.id)
        for p in [p for p in m.placements.values() if absence and p.key not in seen]:
            # Absence proves that the run never started only if the worker has already taken
            # the current epoch (so no older leader's answer can still reach it) and this
            # report is newer than the one whose answer last carried the run.
            if report.epoch != self.book.leading or report.counter <= p.sent_with_report:
                continue
            unsure = self.book.jobs[p.job].may_have_run_unreported(p)
            if p.stopping or unsure:
                news = True
                self.book.end(p, False, ABSENT if unsure else "never started")
        return news

    def _exited(self, m: Machine, p: Placement, why: str, saved: bool, now: float) -> None:
        job = self.book.jobs[p.job]
        done = why == "done"
        # A task that went on from a checkpoint ran only part of its work here.
        fresh = job.spec.checkpoint_s <= 0 or p.number == 1
        if done and p.running_since is not None and fresh:
            run_s = max(now - p.running_since, 0.1)
            if job.run_count >= 5:
                # Only a job whose own tasks were seen says something about a machine's speed.
                m.slowdown_samples += 1
                ratio = min(max(run_s * job.run_count / job.run_sum, 0.3), 4.0)
                m.slowdown += (ratio - m.slowdown) / min(m.slowdown_samples + 4, 20)
            job.run_sum += run_s
            job.run_count += 1
        self.book.end(p, done, why, saved)
        self.book.gang_ended(p, done, why)
        if done and p.placed_at > m.failed_at:
            m.failed_jobs.clear()  # it completes what it starts
        elif why == "error":
            self._failed(m, job, now)
        elif why in ("full", "busy", "unknown"):
            job.not_before = max(job.not_before, now + 1.0)

    def _failed(self, m: Machine, job: Job, now: float) -> None:
        """A task failed: blame the machine if it fails much, the job if it fails anywhere.

        A machine that fails every task at once is always free again and drew all the work to
        it; the jobs, counted out by their failures there, waited for up to a minute.
        """
        machines = self.book.machines
        job.bad_machines.add(m.id)
        m.failed_at = now
        if not job.errors:
            m.failed_jobs[job.id] = m.failed_jobs.get(job.id, 0) + 1
        alone = bool(job.done) and m.failed_jobs.get(job.id, 0) >= c.SUSPECT_TASKS
        if not m.suspect and (len(m.failed_jobs) >= c.SUSPECT_JOBS or alone):
            m.suspect = True
            log.warning("machine suspected", machine=m.id, failed_jobs=len(m.failed_jobs))
            self.book.tell("suspected", machine=m.id, failures=dict(m.failed_jobs))
        sound = [n for n in job.bad_machines if n in machines and not machines[n].suspect]
        if job.done or now < job.not_before:
            return  # tasks that failed together count once
        if job.errors or len(sound) >= c.ERROR_MACHINES:
            job.errors += 1
            job.not_before = now + min(
                c.ERROR_BACKOFF_S * 2 ** min(job.errors, 10), c.ERROR_BACKOFF_MAX_S
            )
            if len(job.bad_machines) >= max(c.ERROR_MACHINES, len(machines) // 2):
                job.bad_machines.clear()  # it fails everywhere: no machine is to blame

    def _noticed(self, m: Machine, notice_s: float, now: float) -> None:
        """The cloud takes the machine then; a notice repeated later says it a little off."""
        ends = now + notice_s
        if m.ends_at is None:
            log.info("machine has notice", machine=m.id, in_s=notice_s)
            self.book.tell("notice", machine=m.id, in_s=notice_s)
        m.ends_at = ends if m.ends_at is None else min(m.ends_at, ends)

    def _drain(self, m: Machine, now: float) -> None:
        """Save what can be saved before the cloud takes a spot machine."""
        if m.ends_at is None:
            return
        for p in m.placements.values():
            job = self.book.jobs[p.job]
            if p.stopping or job.spec.checkpoint_s <= 0 or not job.may_repeat:
                continue
            # The notice may be half as long as announced, so saving starts by half time.
            if m.ends_at - now <= 2 * (job.spec.save_s + c.DRAIN_SPARE_S):
                self.book.stop(p, job.spec.save_s + 1.0, "its machine has notice")
