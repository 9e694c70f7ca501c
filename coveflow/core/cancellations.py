"""Which jobs users were told are cancelled, and up to which moment all of these are known here.

A 200 to a worker renews its lease, whoever sends it. The invariant (docs/notes/evidence.md): every
cancellation that a user was told of more than `cancel_s - lease_s - margin` before the report is
taken is known to whoever answers it, and the answer brings the stops of all its tasks that the
report names and no run of any. What is older stops; what is younger ends with the lease.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterable

import msgspec

from coveflow import constants as c


class Word(msgspec.Struct, eq=False):
    """What one other member has told of the cancellations that it confirmed to users."""

    process: str = ""  # of that name; another one may have forgotten what it confirmed
    since: float = math.inf  # when this process was first heard
    at: float = -math.inf  # when that was sent which its newest word answers
    whole: bool = False  # the store, asked since the process was heard, told of all before it


class Cancellations:
    """Times in s of this node's clock, but for those of cancellations, which are times of day."""

    def __init__(self, members: Iterable[str], cancel_s: float, lease_s: float) -> None:
        self.limit_s = cancel_s - lease_s - c.CONTACT_MARGIN_S
        self.keep_s = c.CANCEL_KEPT_PARTS * cancel_s
        self.words = {name: Word() for name in members}
        self.store_at = -math.inf  # all that was committed before this is known by the store's word
        # Jobs with their time of cancellation and when this was last heard, oldest first.
        self.known: OrderedDict[str, tuple[float, float]] = OrderedDict()
        self.confirmed: OrderedDict[str, tuple[float, float]] = OrderedDict()  # to users, from here

    def __contains__(self, job: object) -> bool:
        return job in self.known

    def since(self, job: str) -> float | None:
        """Time of day of the job's cancellation, if it is known to be cancelled."""
        row = self.known.get(job)
        return None if row is None else row[0]

    # --- what comes in -------------------------------------------------------------------

    def confirm(self, job: str, cancelled: float, now: float) -> None:
        """A user is about to be told here that the job is cancelled, by whatever answer.

        Polls and repeated submissions count as well: the node that wrote the cancellation may have
        told nobody, its answer lost, and so have nothing to tell its peers.
        """
        self._note(self.confirmed, job, cancelled, now)
        self._note(self.known, job, cancelled, now)

    def peer_told(
        self, name: str, process: str, jobs: dict[str, float] | None, sent: float, now: float
    ) -> list[str]:
        """A member's word, in answer to what was sent to it then; the jobs that are news.

        `jobs` is None where it says nothing of them (an older build, bad input): its word is
        unknown from then on. One that names less than all since its last word, as more time than
        it keeps them for has passed, is as good as another process's.
        """
        word = self.words.get(name)
        if word is None:
            return []
        if jobs is None:
            self.words[name] = Word()
            return []
        if word.process != process or sent - word.at > self.keep_s / 2:
            word = self.words[name] = Word(process, now)
        word.at = max(word.at, sent)
        news = [job for job in jobs if job not in self.known]
        for job, cancelled in jobs.items():
            self._note(self.known, job, cancelled, now)
        return news

    def store_answered(self, sent: float) -> None:
        """All that was committed before `sent` has been told and taken in.

        Only a process that was there by then is known to have confirmed nothing unknown: the watch
        may have been opened before an earlier process of that name confirmed its last one.
        """
        self.store_at = max(self.store_at, sent)
        for word in self.words.values():
            if word.process and word.since <= sent:
                word.whole = True

    # --- what follows --------------------------------------------------------------------

    def known_at(self) -> float:
        """Every cancellation that users were told of before this is known here.

        Only members confirm cancellations, so the word of every one of them is as good as the
        store's. If any is unheard, restarted or unknown, the store's word alone counts.
        """
        words = self.words.values()
        if not words or not all(word.whole for word in words):
            return self.store_at
        return max(self.store_at, min(word.at for word in words))

    def may_renew(self, now: float) -> bool:
        """Whether a lease renewed now ends before the limit of any cancellation unknown here."""
        return now - self.known_at() < self.limit_s

    def word(self, now: float) -> dict[str, float]:
        """What this process confirmed to users lately, for the others."""
        self._forget(now)
        return {job: cancelled for job, (cancelled, _) in self.confirmed.items()}

    @staticmethod
    def _note(
        table: OrderedDict[str, tuple[float, float]], job: str, cancelled: float, now: float
    ) -> None:
        before = table.get(job)
        table[job] = (cancelled if before is None else min(before[0], cancelled), now)
        table.move_to_end(job)

    def _forget(self, now: float) -> None:
        """By then no task of them is left anywhere, and a leader has them in its book."""
        for table in (self.known, self.confirmed):
            while table and now - next(iter(table.values()))[1] > self.keep_s:
                table.popitem(last=False)
