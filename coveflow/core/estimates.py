"""Predicts run times from a history per feature value, with four estimators.

The predictor keeps several estimators for every value of every feature and tracks the error of
each. A job gets the prediction of the (value, estimator) pair whose root mean squared error,
relative to the mean run time, is lowest.
"""

from __future__ import annotations

import json
import math
import statistics
from collections import OrderedDict, deque
from collections.abc import Iterable
from typing import Any

import msgspec

from coveflow import constants as c
from coveflow.core.model import Spec

ALL_JOBS = "all"
RATIO_PREFIX = "ratio:"  # prefix of histories of the run time divided by the user's own estimate
ESTIMATORS = ("average", "median", "decay", "recent")

# Stored form of one history: count, mean, decayed mean, number of errors, sums of squared errors,
# last run times.
HistoryRow = tuple[int, float, float, int, tuple[float, float, float, float], list[float]]


class History:
    """Run times of one feature value: running mean, decayed mean and the most recent values."""

    __slots__ = ("count", "decayed", "error_count", "errors", "last", "mean")

    def __init__(self, recent: int) -> None:
        self.count = 0
        self.mean = 0.0
        self.decayed = 0.0
        self.last: deque[float] = deque(maxlen=recent)
        self.errors = dict.fromkeys(ESTIMATORS, 0.0)  # sums of squared errors
        self.error_count = 0

    def predict(self, kind: str) -> float:
        if kind == "average":
            return self.mean
        if kind == "median":
            return statistics.median(self.last)
        if kind == "decay":
            return self.decayed
        return statistics.fmean(self.last)

    def add(self, value: float, alpha: float) -> None:
        if self.count:
            for kind in ESTIMATORS:
                self.errors[kind] += (self.predict(kind) - value) ** 2
            self.error_count += 1
        self.count += 1
        self.mean += (value - self.mean) / self.count
        self.decayed = value if self.count == 1 else alpha * value + (1 - alpha) * self.decayed
        self.last.append(value)

    def relative_error(self, kind: str) -> float:
        """Return the RMSE relative to the mean run time; infinity before the second run time."""
        if not self.error_count or self.mean <= 0:
            return math.inf
        return math.sqrt(self.errors[kind] / self.error_count) / self.mean


class Predictor:
    def __init__(
        self, kinds: Iterable[str] = ESTIMATORS, alpha: float = 0.5, recent: int = 20
    ) -> None:
        self.kinds, self.alpha, self.recent = tuple(kinds), alpha, recent
        self.histories: OrderedDict[str, History] = OrderedDict()
        self.changed = False
        self.version = 0  # incremented by every change, so that callers know when to predict again

    @staticmethod
    def features(spec: Spec) -> list[str]:
        bucket = round(math.log2(max(spec.expected_s, 1.0)))
        size = spec.tasks.bit_length()
        return [
            f"class:{spec.workload}",
            f"class+image:{spec.workload}|{spec.image}",
            f"class+expected:{spec.workload}|{bucket}",
            f"class+size:{spec.workload}|{size}",
            f"team:{spec.team}",
            f"team+class:{spec.team}|{spec.workload}",
        ]

    def observe(self, spec: Spec, runtime: float) -> None:
        """Record the run time per task of a completed job. Services have none."""
        for name in [*self.features(spec), ALL_JOBS]:
            self._add(name, runtime)
        if spec.expected_s > 0:
            self._add(f"{RATIO_PREFIX}{spec.workload}", runtime / spec.expected_s)
        self.changed = True
        self.version += 1

    def _add(self, name: str, value: float) -> None:
        history = self.histories.get(name)
        if history is None:
            history = self.histories[name] = History(self.recent)
        self.histories.move_to_end(name)
        history.add(value, self.alpha)
        if len(self.histories) > c.FEATURES_MAX:
            oldest = next(n for n in self.histories if n != ALL_JOBS)
            del self.histories[oldest]

    def predict(self, spec: Spec) -> float:
        """Predict the job's run time per task, in seconds.

        Without any matching history, the paper falls back to the history of all jobs. The user's
        `expected_s` is better informed, so it is used before that fallback.
        """
        best: tuple[float, float] | None = None
        for name in self.features(spec):
            history = self.histories.get(name)
            if history is None:
                continue
            for kind in self.kinds:
                score = history.relative_error(kind)
                if score < math.inf and (best is None or score < best[0]):
                    best = (score, history.predict(kind))
        ratio = self.histories.get(f"{RATIO_PREFIX}{spec.workload}")
        if ratio is not None and spec.expected_s > 0:
            for kind in self.kinds:
                score = ratio.relative_error(kind)
                if score < math.inf and (best is None or score < best[0]):
                    best = (score, ratio.predict(kind) * spec.expected_s)
        if best is not None:
            return max(best[1], 0.1)
        if spec.expected_s > 0:
            return spec.expected_s
        all_jobs = self.histories.get(ALL_JOBS)
        return max(all_jobs.mean, 0.1) if all_jobs is not None else 60.0

    def dump(self, limit: int) -> dict[str, Any]:
        """Return a compact record of the most recently used histories, within `limit` bytes."""
        record: dict[str, Any] = {}
        used = 2
        names = sorted(reversed(self.histories), key=lambda name: name != ALL_JOBS)
        for name in names:
            h = self.histories[name]
            row = [
                h.count,
                round(h.mean, 3),
                round(h.decayed, 3),
                h.error_count,
                [float(f"{h.errors[kind]:.4g}") for kind in ESTIMATORS],
                [float(f"{value:.4g}") for value in h.last],
            ]
            # Count the size as escaped JSON, as the state service may do. Names in non-Latin
            # scripts otherwise made a record that it refused, together with its transaction.
            used += len(json.dumps(name)) + len(json.dumps(row)) + 4
            if used > limit:
                break
            record[name] = row
        return record

    def load(self, record: Any) -> None:
        """Replace the histories by a record made by `dump`.

        Raises ValueError on an invalid record and loads nothing from it.
        """
        self.histories.clear()
        self.version += 1
        try:
            rows = msgspec.convert(record, dict[str, HistoryRow])
        except msgspec.ValidationError as error:
            raise ValueError(str(error)) from error
        for row in rows.values():
            if not all(map(math.isfinite, (*row[1:3], *row[4], *row[5]))) or not row[5]:
                raise ValueError("a history has no run times or a value that is not finite")
        for name, row in reversed(rows.items()):
            h = History(self.recent)
            h.count, h.mean, h.decayed, h.error_count = row[:4]
            h.errors = dict(zip(ESTIMATORS, row[4], strict=True))
            h.last.extend(row[5])
            self.histories[name] = h
        if ALL_JOBS in self.histories:
            self.histories.move_to_end(ALL_JOBS)
