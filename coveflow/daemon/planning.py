"""When a leader plans, with what it knows then, and what becomes of the plan."""

from __future__ import annotations

import math
from collections.abc import Callable

from coveflow import constants as c
from coveflow.core import planner, planner_state
from coveflow.core.model import Job
from coveflow.daemon.around import Around
from coveflow.daemon.book import Book
from coveflow.daemon.inbox import Inbox
from coveflow.logs import Log

log = Log("coveflow.owner")


class Planning:
    def __init__(
        self,
        around: Around,
        inbox: Inbox,
        book: Book,
        cycle_over: Callable[[float], None],
    ) -> None:
        self.around, self.inbox, self.book = around, inbox, book
        self.cycle_over = cycle_over  # renting goes by what a full cycle lacked
        params = around.settings.params
        self.teams = {team.name: team for team in params.teams}
        self.goals = planner_state.goals_by_class(params.objectives)
        self.next_pass = 0.0
        self.next_cycle = self.next_full = 0.0
        self.last_cycle = self.last_regular = -math.inf

    def due(self, now: float) -> None:
        """Run the pass that is due, if any."""
        if self.book.arrivals and now >= self.last_cycle + c.ARRIVAL_CYCLE_S:
            self.next_cycle = now
        if now >= self.next_cycle and now >= max(self.next_pass, self.next_full):
            self._pass(now, full=True)
        elif self.book.pass_due and now >= self.next_pass:
            self._pass(now, full=False)

    def _guess(self, job: Job) -> None:
        """Guessed run time per task; a job's own finished tasks tell most."""
        predictor = self.book.predictor
        if job.run_count >= 3:
            guess_s = job.run_sum / job.run_count
        elif job.prediction_version != predictor.version:
            job.prediction_version = predictor.version
            guess_s = predictor.predict(job.spec)
        else:
            return
        if self.around.trace is not None and abs(guess_s - job.traced_prediction_s) > (
            c.GUESS_TOLD * job.traced_prediction_s
        ):
            job.traced_prediction_s = guess_s
            self.book.tell("guess", job=job.id, guess_s=round(guess_s, 3))
        job.predicted_s = guess_s

    def _state(self, now: float, wall: float) -> planner_state.PlannerState:
        book = self.book
        return planner_state.PlannerState(
            jobs=list(book.jobs.values()),
            machines=[m for m in book.machines.values() if book.heard_lately(m, now)],
            teams=self.teams,
            usage=book.usage(),
            now=now,
            zone_by_machine={m.id: m.zone for m in book.machines.values()},
            arrived_at={
                job.id: now - max(0.0, wall - job.accepted_at) for job in book.jobs.values()
            },
            goals=self.goals,
            accelerator_uses=frozenset(book.uses),
            flavors=list(self.inbox.flavors.values()),
            class_demands=[known.estimate(now) for known in book.demand.values()],
        )

    def _pass(self, now: float, full: bool) -> None:
        book, tuning = self.book, self.around.tuning
        book.pass_due = False
        started = self.around.clock()
        wall = self.around.wall()
        for job in book.jobs.values():
            self._guess(job)
        if full:
            if now >= self.last_regular + tuning.cycle_s:
                self.last_regular = now
                self._grow_overruns(now)
            self.next_cycle = now + tuning.cycle_s
            self.last_cycle, book.arrivals = now, False
        plan = planner.plan(
            self._state(now, wall),
            tuning,
            {job.id: job.predicted_s for job in book.jobs.values()},
            c.MACHINE_PLACEMENTS,
            None if full else book.plan.reservations,
        )
        if full:
            book.plan = plan
        self._carry_out(plan, now)
        if full:
            self.cycle_over(now)
        book.passed_at = now
        book.hot.update((name, None) for name, held in book.held.items() if held.for_commit)
        took = self.around.pass_s(plan, self.around.clock() - started)
        self.around.meters.record_duration("full pass" if full else "cheap pass", took)
        self.around.meters.add("planning steps", plan.steps)
        if full:
            # Cheap passes go on meanwhile: rooms that fall free wait for nothing else.
            self.next_full = now + c.PASS_PART * took
            self.next_pass = now + took + c.EVENT_PASS_S
        else:
            self.next_pass = now + max(c.EVENT_PASS_S, c.PASS_PART * took)

    def _carry_out(self, plan: planner.Plan, now: float) -> None:
        book = self.book
        for start in plan.starts:
            job, m = book.jobs[start.job], book.machines[start.machine]
            for _ in range(start.count):
                p = job.place(m, now)
                book.tell("placed", job=job.id, task=p.task, number=p.number, machine=m.id)
                log.debug("task placed", job=job.id, task=p.task, number=p.number, machine=m.id)
            m.idle_since = None
            book.dirty_machines[m.id] = None
            log.info("tasks placed", job=job.id, tasks=start.count, machine=m.id)
        for name in plan.preempted_jobs:
            job = book.jobs[name]
            log.info("job stopped for more urgent work", job=name)
            job.preempted += 1
            for p in job.placed.values():
                book.stop(p, job.spec.save_s + 1.0, "more urgent work")

    def _grow_overruns(self, now: float) -> None:
        for m in self.book.machines.values():
            for p in m.placements.values():
                guess = self.book.jobs[p.job].predicted_s * m.slowdown
                if p.running_since is not None and now - p.running_since > guess:
                    p.overrun += 1
