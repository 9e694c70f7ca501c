"""Whether a machine receives the leader's answers, judged by its own reports.

If a machine's reports arrive but answers and commands to it are lost, the machine looks alive:
it is heard all the time and gets work placed on it, but never starts that work. The evidence lies
in its reports: orders that are not carried out, an epoch that stays behind, or a tenure that rises
although reports were answered within the lease. Elapsed time is no evidence; answered reports are.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from typing import TYPE_CHECKING

import msgspec

from coveflow import constants as c

if TYPE_CHECKING:  # the model imports this module, so importing it here would be circular
    from coveflow.core.model import Order, Report

Key = tuple[str, int, int]


class AnswerReceipt(msgspec.Struct, eq=False):
    """What one leader knows about one machine's receipt of answers, for its term as leader.

    Times are in s of the leader's clock.
    """

    orders: dict[Key, str] = {}  # orders of the last answer, by attempt
    answered_at: float = -1e9  # when that answer was sent
    answered_counter: int = -1  # counter of the report that it answered
    redirected: bool = False  # whether that answer redirected it to another node
    missed_answers: int = 0  # consecutive answers without a visible effect
    missed_since: float = 0.0  # when the first of them was sent
    session_started_at: float = -1e9  # when its latest session was noticed
    highest_epoch: int = 0  # highest epoch in its reports
    # When the answers were sent that are not known to be received.
    unconfirmed_answers: deque[float] = msgspec.field(default_factory=deque)
    reported_at: float = -1e9  # when its newest report came, whatever its epoch
    after_timeout: bool = True  # that report came late enough for a worker that timed out
    not_receiving_since: float | None = None
    early_reports: int = 0  # consecutive reports too early for a worker that timed out
    task_limit: int = 0  # tasks it may have until receipt is shown; 0: unlimited

    @property
    def not_receiving(self) -> bool:
        return self.not_receiving_since is not None

    @property
    def suspected(self) -> bool:
        return self.not_receiving or self.missed_answers > 0

    @property
    def excluded_from_work(self) -> bool:
        """Whether it gets no work: one answer may get lost, two in a row rarely do."""
        return self.not_receiving or self.missed_answers > 1

    def record_answer(self, report: Report, orders: Iterable[Order], now: float) -> None:
        """Record the answer sent for a report; a repeated answer replaces the earlier one."""
        self.orders = {(o.job, o.task, o.number): o.verb for o in orders}
        self._note_answer(report, now)

    def record_redirect(self, report: Report, now: float) -> None:
        """Record a redirect to another node; a machine that receives it reports there at once."""
        self.redirected = True
        self._note_answer(report, now)

    def _note_answer(self, report: Report, now: float) -> None:
        self.answered_at, self.answered_counter = now, report.counter
        self.unconfirmed_answers.append(now)

    def record_report(
        self,
        report: Report,
        new_tenure: bool,
        at_home_node: bool,
        lease_s: float,
        epoch: int,
        now: float,
    ) -> bool:
        """Evaluate a report that is newer than all before.

        `new_tenure`: its tenure is higher than before. `at_home_node`: it came to the node that
        should take it. `epoch` is the leader's. Returns whether the machine started or ceased to
        count as not receiving.
        """
        while self.unconfirmed_answers and self.unconfirmed_answers[0] < now - lease_s:
            self.unconfirmed_answers.popleft()
        self.reported_at, self.after_timeout = now, now - self.answered_at >= c.PROMPT_REPORT_S
        previous, known = self.not_receiving_since, self.answered_counter >= 0 and not new_tenure
        followed = (
            self.redirected and at_home_node and now - self.answered_at < c.REDIRECT_FOLLOWED_S
        )
        behind = report.epoch < epoch and self.highest_epoch <= report.epoch
        epoch_learnt = (
            report.epoch >= epoch and self.highest_epoch < epoch and self.answered_counter >= 0
        )
        received = not new_tenure and (
            epoch_learnt or (known and (followed or self._shows_effect(report)))
        )
        restricted = self.suspected or self.task_limit > 0
        session_kept = (
            restricted
            and not new_tenure
            and now - self._suspected_at() > lease_s + c.WORKER_GIVE_UP_S
        )
        self.highest_epoch = max(self.highest_epoch, report.epoch)
        # A worker gives up on an answer after 4 s and asks the next node a second later.
        early = known and at_home_node and not behind and now - self.answered_at < c.PROMPT_REPORT_S
        self.early_reports = self.early_reports + 1 if early else 0
        if received or session_kept or self.early_reports >= c.PROMPT_REPORTS:
            # It receives answers: otherwise its session would have ended, or its next report would
            # not have come so early.
            self._reset_missed()
        elif known and not early and (behind or not at_home_node or self._effect_expected()):
            if not self.missed_answers:
                self.missed_since = self.answered_at
            self.missed_answers += 1
        if new_tenure:
            self._start_session(lease_s, now)
        elif self.not_receiving and (
            received or session_kept or self.early_reports >= c.PROMPT_REPORTS
        ):
            # Answers reach it again: it gets one task first, and more with each order carried out.
            self.not_receiving_since, self.task_limit, self.missed_since = None, 1, now
        elif (
            self.missed_answers >= c.NOT_RECEIVING_MISSES
            and now - self.missed_since >= c.NOT_RECEIVING_MIN_S
        ):
            self.not_receiving_since = now if previous is None else previous
        elif session_kept:
            # An idle machine has no order to carry out. Otherwise a gang can wait forever for a
            # machine limited to one task, if no smaller job is queued that would lift the limit.
            self.task_limit = 0
        elif received and self.task_limit:
            self.task_limit = (
                self.task_limit * c.TASK_LIMIT_GROWTH if self.task_limit < c.TASK_LIMIT_MAX else 0
            )
        self.orders, self.answered_counter, self.redirected = {}, -1, False
        return (previous is None) != (self.not_receiving_since is None)

    def record_session_end(self, lease_s: float, now: float) -> None:
        """Handle a new session that a reply to a direct request showed, rather than a report."""
        self._start_session(lease_s, now)
        self.orders, self.answered_counter, self.redirected = {}, -1, False

    def _effect_expected(self) -> bool:
        """Whether the next report must show an effect; stopping a gang takes a while to show."""
        return any(verb != "stop" for verb in self.orders.values())

    def _suspected_at(self) -> float:
        """Time of the latest evidence against it.

        A session that outlives this time by a lease was renewed, so the machine received an answer.
        """
        return max(self.missed_since, self.session_started_at, self.not_receiving_since or -1e9)

    def _reset_missed(self) -> None:
        self.missed_answers = 0
        self.unconfirmed_answers.clear()

    def _start_session(self, lease_s: float, now: float) -> None:
        """Handle the end of a lease.

        It shows that the machine does not receive only if this leader sent answers throughout the
        lease. A machine that was cut off or hung sent no reports, and a leader whose process was
        paused sends all its answers at once when it resumes, which is no evidence.
        """
        several = len(self.unconfirmed_answers) >= c.NOT_RECEIVING_ANSWERS
        if (
            several
            and self.unconfirmed_answers[-1] - self.unconfirmed_answers[0]
            >= lease_s * c.NOT_RECEIVING_LEASE_SHARE
        ):
            self.not_receiving_since = (
                now if self.not_receiving_since is None else self.not_receiving_since
            )
        # Whatever ended the session, nothing shows yet that the machine receives answers. Without
        # the limit, new leaders that had sent no answers yet placed 560 tasks on 92 machines that
        # received nothing, and it took another lease to detect that.
        self.task_limit, self.session_started_at = 1, now
        self._reset_missed()

    def _shows_effect(self, report: Report) -> bool:
        """Whether the report shows an effect that only this leader's answer can have caused."""
        if not self.orders:
            return False
        reported = {(t.job, t.task, t.number): t for t in report.tasks}
        for key, verb in self.orders.items():
            task = reported.get(key)
            if verb == "run" and task is not None:
                return True
            if verb == "clear" and task is None:
                return True
            if verb == "stop" and (
                task is None or task.state == "flushing" or task.why == "halted"
            ):
                return True
        return False
