"""Schedules the leader's planning passes, runs the planner and applies its plans.

A full pass (cycle) considers everything; a cheap pass in between only fills freed resources.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from coveflow import constants as c
from coveflow.core import planner, planner_state
from coveflow.core.model import Job
from coveflow.daemon.context import NodeContext
from coveflow.daemon.inbox import Inbox
from coveflow.daemon.leader_state import LeaderState
from coveflow.logs import Log

log = Log("coveflow.owner")


class Planning:
    def __init__(
        self,
        context: NodeContext,
        inbox: Inbox,
        state: LeaderState,
        on_full_cycle: Callable[[float], None],
    ) -> None:
        self.context, self.inbox, self.state = context, inbox, state
        self.on_full_cycle = on_full_cycle  # renting uses what a full cycle lacked
        params = context.settings.params
        self.teams = {team.name: team for team in params.teams}
        self.goals = planner_state.goals_by_class(params.objectives)
        self.next_pass = 0.0
        self.next_cycle = self.next_full = 0.0
        self.last_cycle = self.last_overrun_check = -math.inf

    def run_due(self, now: float) -> None:
        """Run the planning pass that is due, if any."""
        if self.state.new_jobs and now >= self.last_cycle + c.ARRIVAL_CYCLE_S:
            self.next_cycle = now
        if now >= self.next_cycle and now >= max(self.next_pass, self.next_full):
            self._pass(now, full=True)
        elif self.state.pass_due and now >= self.next_pass:
            self._pass(now, full=False)

    def _update_estimate(self, job: Job) -> None:
        """Update the estimated run time per task, preferably from the job's own finished tasks."""
        predictor = self.state.predictor
        if job.run_count >= 3:
            guess_s = job.run_sum / job.run_count
        elif job.prediction_version != predictor.version:
            job.prediction_version = predictor.version
            guess_s = predictor.predict(job.spec)
        else:
            return
        if self.context.trace is not None and abs(guess_s - job.traced_prediction_s) > (
            c.PREDICTION_TRACE_CHANGE * job.traced_prediction_s
        ):
            job.traced_prediction_s = guess_s
            self.state.tell("guess", job=job.id, guess_s=round(guess_s, 3))
        job.predicted_s = guess_s

    def _planner_input(self, now: float, wall: float) -> planner_state.PlannerState:
        state = self.state
        return planner_state.PlannerState(
            jobs=list(state.jobs.values()),
            machines=[m for m in state.machines.values() if state.reported_recently(m, now)],
            teams=self.teams,
            usage=state.usage(),
            now=now,
            zone_by_machine={m.id: m.zone for m in state.machines.values()},
            arrived_at={
                job.id: now - max(0.0, wall - job.accepted_at) for job in state.jobs.values()
            },
            goals=self.goals,
            accelerator_uses=frozenset(state.accelerator_uses),
            flavors=list(self.inbox.flavors.values()),
            class_demands=[known.estimate(now) for known in state.demand.values()],
        )

    def _pass(self, now: float, full: bool) -> None:
        state, tuning = self.state, self.context.tuning
        state.pass_due = False
        started = self.context.clock()
        wall = self.context.wall()
        for job in state.jobs.values():
            self._update_estimate(job)
        if full:
            if now >= self.last_overrun_check + tuning.cycle_s:
                self.last_overrun_check = now
                self._count_overruns(now)
            self.next_cycle = now + tuning.cycle_s
            self.last_cycle, state.new_jobs = now, False
        plan = planner.plan(
            self._planner_input(now, wall),
            tuning,
            {job.id: job.predicted_s for job in state.jobs.values()},
            c.MACHINE_PLACEMENTS,
            None if full else state.plan.reservations,
        )
        if full:
            state.plan = plan
        self._apply_plan(plan, now)
        if full:
            self.on_full_cycle(now)
        state.last_pass_at = now
        state.answers_to_check.update(
            (name, None) for name, held in state.pending_answers.items() if held.for_commit
        )
        took = self.context.pass_duration_s(plan, self.context.clock() - started)
        self.context.meters.record_duration("full pass" if full else "cheap pass", took)
        self.context.meters.add("planning steps", plan.steps)
        if full:
            # Cheap passes continue until then, so that freed resources are reused at once.
            self.next_full = now + c.PASS_INTERVAL_FACTOR * took
            self.next_pass = now + took + c.EVENT_PASS_S
        else:
            self.next_pass = now + max(c.EVENT_PASS_S, c.PASS_INTERVAL_FACTOR * took)

    def _apply_plan(self, plan: planner.Plan, now: float) -> None:
        state = self.state
        for start in plan.starts:
            job, m = state.jobs[start.job], state.machines[start.machine]
            for _ in range(start.count):
                p = job.place(m, now)
                state.tell("placed", job=job.id, task=p.task, number=p.number, machine=m.id)
                log.debug("task placed", job=job.id, task=p.task, number=p.number, machine=m.id)
            m.idle_since = None
            state.dirty_machines[m.id] = None
            log.info("tasks placed", job=job.id, tasks=start.count, machine=m.id)
        for name in plan.preempted_jobs:
            job = state.jobs[name]
            log.info("job preempted by more urgent work", job=name)
            job.preempted += 1
            for p in job.placed.values():
                state.stop(p, job.spec.save_s + 1.0, "more urgent work")

    def _count_overruns(self, now: float) -> None:
        for m in self.state.machines.values():
            for p in m.placements.values():
                guess = self.state.jobs[p.job].predicted_s * m.slowdown
                if p.running_since is not None and now - p.running_since > guess:
                    p.overrun += 1
