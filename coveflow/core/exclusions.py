"""Which machines a job may use after task failures, and when an excluded one is tried again. Pure.

The planner's starts and reservations, the choice of rentals and `wait_reasons` all ask this module.
An excluded machine is used only if no other one has room, after a delay that doubles with each
failed retry up to a limit, and with one task (a gang: with all its tasks). The exclusion
ends once that task completes or has run for RETRY_PROVEN_S.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable

from coveflow import constants as c
from coveflow.core.model import Job, Machine, Placement, Spec
from coveflow.core.timeline import count_fitting


def only_fails(job: Job) -> bool:
    """Whether tasks of the job failed and none was completed yet."""
    return bool(job.errors) and not job.done


def is_excluded(job: Job, machine: Machine) -> bool:
    """Whether the job leaves the machine out as long as others have room."""
    return machine.failures.suspected or machine.id in job.failures.failed_at


def excluded_machines(job: Job) -> frozenset[str]:
    """Return the machines that only this job leaves out; suspected ones are left out by all."""
    return frozenset(job.failures.failed_at)


def next_retry_of_machine(machine: Machine, now: float) -> float:
    """Return when a suspected machine takes a task; `now` or earlier if it does already.

    While a retry is on the machine, its outcome decides: it fails, completes, or ends the
    suspicion by running. Until it runs, the time is an estimate.
    """
    if not machine.failures.suspected:
        return now
    in_flight = [p for p in machine.placements.values() if is_retry(machine, p)]
    return max([machine.failures.retry_at, *(proven_at(p, now) for p in in_flight)])


def next_retry_of_machine_by(job: Job, machine: Machine, now: float, arrived_at: float) -> float:
    """Return when the job may try a suspected machine; `now` or earlier for other machines.

    It first waits for another machine to be free or rented. A job whose own tasks failed comes
    after the others, since it may be at fault itself.
    """
    if not machine.failures.suspected:
        return now
    precedence_s = c.RETRY_PRECEDENCE_S if job.failures.failed_at else 0.0
    at = next_retry_of_machine(machine, now) + precedence_s
    return max(at, arrived_at + c.SUSPECT_WAIT_S)


def next_retry_of_job(job: Job, now: float) -> float:
    """Return when the job may try one of its excluded machines again.

    A job of which all tasks fail is paused as a whole (`Job.not_before`) and runs one task at a
    time, so its exclusions need no delay of their own.
    """
    if not job.failures.failed_at or only_fails(job):
        return now
    failed_at = job.failures.failed_at
    in_flight = [p for p in job.placed.values() if p.placed_at > failed_at.get(p.machine, math.inf)]
    return max([job.failures.retry_at, *(proven_at(p, now) for p in in_flight)])


def is_retry(machine: Machine, placement: Placement) -> bool:
    """Whether the attempt was placed on the machine after it was suspected."""
    since = machine.failures.suspected_at
    return since is not None and placement.placed_at > since


def proven_at(placement: Placement, now: float) -> float:
    """Return when the attempt will have run long enough to prove its machine well."""
    since = now if placement.running_since is None else placement.running_since
    return since + c.RETRY_PROVEN_S


def next_try_at(job: Job, machine: Machine, now: float, arrived_at: float) -> float:
    """Return when a task of the job may next start on the machine if there is room; at least now.

    At most ERROR_BACKOFF_MAX_S from now, as the delays of suspected machines are shorter.
    """
    by_machine = next_retry_of_machine_by(job, machine, now, arrived_at)
    at = max(now, job.not_before, by_machine)
    if machine.id in job.failures.failed_at:
        at = max(at, next_retry_of_job(job, now))
    return at


def machines_for(spec: Spec, machines: Iterable[Machine]) -> list[Machine]:
    """Return the machines on which a task of the job could ever run."""
    return [
        m
        for m in machines
        if m.up
        and m.allows(spec)
        and count_fitting(m.flavor.cpus, m.flavor.ram_gb, m.flavor.accelerators, spec)
    ]


def record_failure(
    job: Job, machine: Machine, placement: Placement, machines: Collection[Machine], now: float
) -> bool:
    """Count a failed task against its machine or, if it fails on any machine, its job.

    A machine that fails every task immediately is always free and attracts all the work; the
    jobs, delayed because of these failures, would wait for up to a minute. `machines` are all
    machines of the fleet. Returns whether the machine has become suspected.
    """
    failures = machine.failures
    failed_retry = is_retry(machine, placement)
    job.failures.record_failure(machine.id, placement.placed_at, now)
    failures.last_at = now
    if not job.errors:
        failures.jobs[job.id] = failures.jobs.get(job.id, 0) + 1
    fails_one_job = bool(job.done) and failures.jobs.get(job.id, 0) >= c.SUSPECT_TASKS
    newly_suspected = False
    if failures.suspected:
        if failed_retry:
            failures.record_failed_retry(now)
    elif len(failures.jobs) >= c.SUSPECT_JOBS or fails_one_job:
        failures.suspect(now)
        newly_suspected = True
    _count_against_job(job, machines, now)
    return newly_suspected


def _count_against_job(job: Job, machines: Collection[Machine], now: float) -> None:
    """Pause a job that failed on several machines that are well; they are not at fault for it."""
    if job.done or now < job.not_before:
        return  # tasks that fail together count once
    failed_at = job.failures.failed_at
    healthy = [m for m in machines if m.id in failed_at and not m.failures.suspected]
    if not job.errors and len(healthy) < c.ERROR_MACHINES:
        return
    if not job.errors:
        for m in machines:
            m.failures.forget_job(job.id)
    job.errors += 1
    job.not_before = now + min(c.ERROR_BACKOFF_S * 2 ** min(job.errors, 10), c.ERROR_BACKOFF_MAX_S)
    usable = machines_for(job.spec, machines)
    if len(failed_at) >= max(c.ERROR_MACHINES, len(usable) // 2):
        job.failures.forget_machines()


def record_completion(job: Job, machine: Machine, placement: Placement, now: float) -> None:
    """Count a completed task for its machine, for its job and for all others."""
    job.failures.record_success(machine.id, placement.placed_at, now)
    machine.failures.record_completion(placement.placed_at)


def record_running(job: Job, machine: Machine, placement: Placement, now: float) -> None:
    """Count an attempt for its machine once it has run for RETRY_PROVEN_S."""
    if placement.running_since is None or now < proven_at(placement, now):
        return
    job.failures.record_success(machine.id, placement.placed_at, now)
    machine.failures.record_success(placement.placed_at)
