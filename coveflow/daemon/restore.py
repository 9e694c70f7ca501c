"""Taking the lead: the book as an earlier leader's records leave it."""

from __future__ import annotations

from typing import Any

from coveflow.core.model import Job, Machine, Placement, decode_ranges
from coveflow.daemon.book import Book
from coveflow.daemon.inbox import Inbox
from coveflow.logs import Log
from coveflow.state.keys import ATTEMPT_FLOOR, CHUNK, HELD, HISTORY, MACHINE
from coveflow.state.records import CorruptRecords

log = Log("coveflow.owner")

# What reading a damaged record raises.
DAMAGED = (AttributeError, IndexError, KeyError, OverflowError, TypeError, ValueError)


def restore(book: Book, inbox: Inbox, rows: list[tuple[str, Any, int]], now: float) -> int:
    """Fill an empty book from the records; the revision of the histories (0: none).

    Raises Unreadable where the records are damaged, of another layout, or name a machine type
    that is not known yet: a leader with a part of the state would start again what it forgot.
    """
    try:
        return _restore(book, inbox, rows, now)
    except DAMAGED as error:
        raise CorruptRecords(f"{type(error).__name__}: {error}") from error


def _restore(book: Book, inbox: Inbox, rows: list[tuple[str, Any, int]], now: float) -> int:
    slots = [row for row in rows if row[0] != HISTORY]
    history_rev = _histories(book, rows)
    book.records.load(slots)
    for entry in inbox.accepted.values():
        book.adopt(entry)
    for item, value in book.records.values.items():
        _progress(book, item, value)
    # Only now: what a machine has may be of any job.
    for item, value in book.records.values.items():
        if item.startswith(MACHINE):
            _machine(book, inbox, item[len(MACHINE) :], value, now)
    for job in book.jobs.values():
        _job_is_whole(book, job)
    _stop_cancelled(book)
    book.stop_broken_gangs()
    book.unheard = set(book.machines)
    return history_rev


def _histories(book: Book, rows: list[tuple[str, Any, int]]) -> int:
    """Estimates of run times; the revision of their record."""
    for key, value, rev in rows:
        if key == HISTORY:
            _load_histories(book, value)
            return rev
    return 0


def _load_histories(book: Book, value: Any) -> None:
    """Guesses come again with the next jobs: a bad record of them must keep nobody from leading."""
    try:
        book.predictor.load(value)
    except DAMAGED as error:
        log.error("histories can't be read", why=error)
        book.predictor.histories.clear()


def _progress(book: Book, item: str, value: Any) -> None:
    """One item of a job's progress; items of jobs that are over, or of machines, are passed by."""
    kind, rest = item[:2], item[2:]
    if kind == CHUNK:
        name, index = rest.rsplit("/", 1)
        if name in book.jobs:
            book.jobs[name].load_chunk(int(index), value)
        return
    job = book.jobs.get(rest)
    if job is None:
        return
    if kind == ATTEMPT_FLOOR:
        job.last_attempt_number = value
    elif kind == HELD:
        job.held, job.given_up = set(decode_ranges(value[0])), set(decode_ranges(value[1]))


def _job_is_whole(book: Book, job: Job) -> None:
    """Its progress and attempts are read: what may run again follows from these."""
    if job.done and job.spec.kind == "gang":
        for task in range(job.spec.tasks):
            job.mark_done(task)  # they complete together
    job.done_committed = len(job.done)
    job.recompute_pending()
    book.fail_held(job)
    if job.is_finished:
        book.dirty_jobs[job.id] = None


def _stop_cancelled(book: Book) -> None:
    """Attempts of cancelled jobs end, whether the leader before had stopped them all or not.

    They once ran on until their machines went back, for that alone, at 0.6 of the user's limit.
    """
    for m in book.machines.values():
        for p in m.placements.values():
            if book.jobs[p.job].cancelled is not None:
                book.stop(p, 0.0, "its user cancelled it")


def _machine(book: Book, inbox: Inbox, name: str, value: list[Any], now: float) -> None:
    owner, address, kind, zone, spot, tenure, tasks, *drained = value
    flavor = inbox.flavors.get(kind)
    if flavor is None:
        raise CorruptRecords(f"machine {name} has an unknown type")
    m = Machine(name, address, flavor, zone, spot)
    m.owner, m.tenure = owner, tenure
    m.last_report_at = m.known_since = m.last_answered_at = now
    m.up = True
    m.drained = m.draining = bool(drained)
    book.machines[name] = m
    for job_id, rows in tasks.items():
        job = book.jobs.get(job_id)
        if job is None:
            log.error("a machine records a job that is over", machine=name, job=job_id)
            continue
        for number, flat in rows:
            for task in decode_ranges(flat):
                p = Placement(job_id, task, number, name, m.tenure, committed=True, placed_at=now)
                p.restored = True
                m.placements[p.key] = p
                m.allocate(job.spec)
                job.attempts += 1
                if task not in job.done or task not in job.placed:
                    job.placed[task] = p
