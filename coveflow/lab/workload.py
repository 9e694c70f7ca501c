"""Generates jobs from job classes: open-loop arrivals with seeded sizes and estimates."""

from __future__ import annotations

import math
from collections.abc import Callable

import numpy as np

from coveflow.core.model import Spec
from coveflow.lab.site import JobClass, Site
from coveflow.lab.truth import run_time_sampler


def _lognormal(rng: np.random.Generator, law: tuple[float, float, float]) -> float:
    median, p95, most = law
    sigma = math.log(max(p95 / max(median, 1e-9), 1.0)) / 1.6449
    return float(min(median * math.exp(rng.normal(0.0, sigma)), most))


def run_times(site: Site) -> Callable[[Spec], list[float]]:
    """Sampler of run times for the site's classes and seed: seconds per task at speed 1."""
    return run_time_sampler(site.seed, {k.name: k.run_s for k in site.classes})


def draw(site: Site, length_s: float, factor: float = 1.0) -> list[tuple[float, Spec]]:
    """Arrivals within `length_s`, in order: (seconds after the start, job).

    `factor` scales the rates. Each class has its own random stream, so that a change to one class
    doesn't change the jobs of the others.
    """
    lengths = run_times(site)
    found: list[tuple[float, str, JobClass, int]] = []
    for index, kind in enumerate(site.classes):
        rng = np.random.default_rng([site.seed, 11, index])
        times = [0.0] * kind.initial
        rate = kind.per_minute * factor / 60
        at = 0.0
        while rate > 0:
            at += float(rng.exponential(1 / rate))
            if at > length_s:
                break
            times.append(at)
        found += [(at, kind.name, kind, number) for number, at in enumerate(times)]
    found.sort(key=lambda row: (row[0], row[1], row[3]))
    jobs = []
    for at, _, kind, number in found:
        index = site.classes.index(kind)
        # Named by class and number, not by arrival order: the same job has one name at any factor.
        name = f"j-{site.seed:03d}{index:02d}{number:06d}"
        jobs.append((at, job(site, kind, index, number, name, lengths)))
    return jobs


def job(
    site: Site,
    kind: JobClass,
    index: int,
    number: int,
    name: str,
    lengths: Callable[[Spec], list[float]],
) -> Spec:
    rng = np.random.default_rng([site.seed, 13, index, number])
    tasks = max(1, round(_lognormal(rng, kind.tasks)))
    image = f"{kind.name}-{int(rng.integers(kind.images)) if kind.images else 0}"
    fields = {
        "id": name, "workload": kind.name, "team": kind.team, "kind": kind.shape,
        "priority": kind.priority, "tasks": tasks, "cpus": kind.cpus,
        "accelerators": kind.accelerators, "ram_gb": kind.ram_gb, "image": image,
        "image_gb": kind.image_gb, "types": list(kind.types) or None, "zone": None,
        "one_zone": kind.one_zone, "spread": kind.spread, "spot": kind.spot,
        "checkpoint_s": kind.checkpoint_s, "save_s": kind.save_s,
    }  # fmt: skip
    real = float(np.mean(lengths(Spec(**fields, expected_s=0.0))))
    expected = 0.0 if kind.shape == "service" else round(
        real * math.exp(rng.normal(0.0, kind.estimate_error)), 3
    )  # fmt: skip
    deadline = None
    if kind.deadline is not None:
        deadline = round(expected * kind.deadline[0] + kind.deadline[1], 3)
    return Spec(**fields, expected_s=expected, deadline_s=deadline)
