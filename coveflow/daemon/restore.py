"""Restores the leader's state from the records of the previous leader."""

from __future__ import annotations

from typing import Any

from coveflow.core.model import Job, Machine, Placement, decode_ranges
from coveflow.daemon.inbox import Inbox
from coveflow.daemon.leader_state import LeaderState
from coveflow.logs import Log
from coveflow.state.keys import ATTEMPT_FLOOR, CHUNK, HELD, HISTORY, machine_page
from coveflow.state.records import CorruptRecords

log = Log("coveflow.owner")

# Exceptions raised when a damaged record is decoded.
DECODE_ERRORS = (AttributeError, IndexError, KeyError, OverflowError, TypeError, ValueError)


def restore(state: LeaderState, inbox: Inbox, rows: list[tuple[str, Any, int]], now: float) -> int:
    """Fill an empty state from the records; returns the revision of the histories (0: none).

    Raises Unreadable if the records are damaged, have another layout, or name a machine type that
    is not known yet: a leader with partial state would start tasks that are already running.
    """
    try:
        return _restore(state, inbox, rows, now)
    except DECODE_ERRORS as error:
        raise CorruptRecords(f"{type(error).__name__}: {error}") from error


def _restore(state: LeaderState, inbox: Inbox, rows: list[tuple[str, Any, int]], now: float) -> int:
    slots = [row for row in rows if row[0] != HISTORY]
    history_rev = _restore_histories(state, rows)
    state.records.load(slots)
    if state.records.overwritten_early:
        log.error(
            "slots were overwritten out of order; leading with all items",
            transactions=state.records.overwritten_early,
        )
    for entry in inbox.accepted.values():
        state.apply_accepted(entry)
    for item, value in state.records.values.items():
        _restore_progress(state, item, value)
    # After all jobs, as a machine may have attempts of any of them.
    for name, pages in _machine_pages(state).items():
        if 0 in pages:
            _restore_machine(state, inbox, name, pages, now)
    state.apply_write_limits()
    for job in state.jobs.values():
        _finalize_restored_job(state, job)
    _stop_cancelled(state)
    state.stop_broken_gangs()
    state.unheard = set(state.machines)
    return history_rev


def _restore_histories(state: LeaderState, rows: list[tuple[str, Any, int]]) -> int:
    """Restore the run time histories; returns the revision of their record (0: none)."""
    for key, value, rev in rows:
        if key == HISTORY:
            _load_histories(state, value)
            return rev
    return 0


def _load_histories(state: LeaderState, value: Any) -> None:
    """Load the histories, or start without any: a bad record must not prevent leadership.

    Estimates are learned again from the next jobs.
    """
    try:
        state.predictor.load(value)
    except DECODE_ERRORS as error:
        log.error("run time histories can't be decoded", why=error)
        state.predictor.histories.clear()


def _restore_progress(state: LeaderState, item: str, value: Any) -> None:
    """Restore one item of a job's progress; skips items of finished jobs and of machines."""
    kind, rest = item[:2], item[2:]
    if kind == CHUNK:
        name, index = rest.rsplit("/", 1)
        if name in state.jobs:
            state.jobs[name].load_chunk(int(index), value)
        return
    job = state.jobs.get(rest)
    if job is None:
        return
    if kind == ATTEMPT_FLOOR:
        job.last_attempt_number = value
    elif kind == HELD:
        job.held, job.given_up = set(decode_ranges(value[0])), set(decode_ranges(value[1]))


def _finalize_restored_job(state: LeaderState, job: Job) -> None:
    """Derive the tasks that may be placed, once all progress and attempts are restored."""
    if job.done and job.spec.kind == "gang":
        for task in range(job.spec.tasks):
            job.mark_done(task)  # they complete together
    job.done_committed = len(job.done)
    job.recompute_pending()
    state.fail_held(job)
    if job.is_finished:
        state.dirty_jobs[job.id] = None


def _stop_cancelled(state: LeaderState) -> None:
    """Stop all attempts of cancelled jobs, as the previous leader may not have done so.

    Otherwise they run on until their machines are returned for it, at 0.6 of the user's limit.
    """
    for m in state.machines.values():
        for p in m.placements.values():
            if state.jobs[p.job].cancelled is not None:
                state.stop(p, 0.0, "its user cancelled it")


def _restore_machine(
    state: LeaderState, inbox: Inbox, name: str, pages: dict[int, Any], now: float
) -> None:
    """Restore a machine from its own record (page 0) and its further pages."""
    owner, address, kind, zone, spot, tenure, tasks, *drained = pages[0]
    flavor = inbox.flavors.get(kind)
    if flavor is None:
        raise CorruptRecords(f"machine {name} has an unknown type")
    m = Machine(name, address, flavor, zone, spot)
    m.owner, m.tenure = owner, tenure
    m.last_report_at = m.known_since = m.last_answered_at = now
    m.up = True
    m.drained = m.draining = bool(drained)
    state.machines[name] = m
    m.pages = max(pages)
    for page in sorted(pages, reverse=True):  # as a page gives attempts to later ones
        _restore_attempts(state, m, page, pages[page] if page else tasks, now)


def _machine_pages(state: LeaderState) -> dict[str, dict[int, Any]]:
    """The records of machines and their further pages, by machine and page number."""
    found: dict[str, dict[int, Any]] = {}
    for item, value in state.records.values.items():
        place = machine_page(item)
        if place is not None:
            machine, page = place
            found.setdefault(machine, {})[page] = value
    return found


def _restore_attempts(
    state: LeaderState, m: Machine, page: int, tasks: dict[str, Any], now: float
) -> None:
    """Restore the attempts of one page of a machine's records."""
    for job_id, rows in tasks.items():
        job = state.jobs.get(job_id)
        if job is None:
            log.error("machine record names a finished job", machine=m.id, job=job_id)
            continue
        for number, flat in rows:
            for task in decode_ranges(flat):
                if (job_id, task, number) in m.placements:
                    continue  # it was being moved between pages
                p = Placement(job_id, task, number, m.id, m.tenure, committed=True, placed_at=now)
                p.restored, p.page = True, page
                m.placements[p.key] = p
                m.allocate(job.spec)
                job.attempts += 1
                if _is_newest_attempt(job, p):
                    job.placed[task] = p


def _is_newest_attempt(job: Job, p: Placement) -> bool:
    """Whether no restored attempt of the task is newer.

    A machine that is gone may be back in the records (see `Records.load`); the end of its attempt
    must not free a task that runs elsewhere.
    """
    other = job.placed.get(p.task)
    return other is None or other.number < p.number
