"""Reports of a what-if study: a self-contained HTML page, JSON and Parquet."""

from __future__ import annotations

import json
import math
import time
from collections import defaultdict
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import jinja2
import plotly.graph_objects as go
import pyarrow.parquet as pq
from plotly.colors import qualitative

from coveflow.whatif.study import JobView, Study, probability

BARS_MAX = 6_000  # bars in the fleet chart; browsers stay responsive with that many
LATE_JOBS_MAX = 60  # jobs in the table of jobs that became late
ROW_HEIGHT_PX = 14  # row height in pixels of a machine in the fleet chart
MACHINES_MAX = 120  # rows in the fleet chart


@dataclass
class Question:
    """Whether all work, or that of one class, is done by a time.

    `at` is in s after the start; `text` is the time as the user gave it.
    """

    at: float
    text: str
    workload: str | None = None


def answer(study: Study, question: Question) -> str:
    """One line: the number of runs, and the probability with its interval."""
    hits, runs = study.done_by(question.at, question.workload)
    p, low, high = probability(hits, runs)
    subject = "everything" if question.workload is None else question.workload
    return (
        f"Will {subject} be done by {question.text}? In {hits} of {runs} runs:"
        f" probability {p:.2f} (95% interval {low:.2f} to {high:.2f})"
    )


def reasons(job: JobView, limit: int = 3) -> str:
    """Why the job waited, the longest wait first, as means over the runs."""
    if job.held:
        return "held for an operator: its class allows no repeat"
    waits = sorted(job.waits.items(), key=lambda row: -row[1])[:limit]
    if not waits:
        return "it did not wait: its tasks ran too long"
    return "; ".join(f"{seconds:.0f} s: {why}" for why, seconds in waits)


def _clock(study: Study) -> Any:
    """A function that formats s after the start as a time of day."""
    return lambda s: time.strftime("%H:%M:%S", time.localtime(study.replay.start + s))


def _colors(names: list[str]) -> dict[str, str]:
    palette = qualitative.Safe + qualitative.Set2
    return {name: palette[i % len(palette)] for i, name in enumerate(names)}


def fleet_chart(study: Study) -> go.Figure:
    """Which class each machine ran, in the median run; rows sorted by type and zone."""
    median_run = study.median_run()
    workload = {job.id: job.workload for job in median_run.jobs}
    colors = _colors(sorted(set(workload.values())))
    merged: dict[tuple[str, str], list[tuple[float, float]]] = defaultdict(list)
    # Overlapping tasks of one class on a machine form one bar; cores are not shown separately.
    for machine, job, _, begin, end in sorted(median_run.bars, key=lambda bar: bar[3]):
        spans = merged[(machine, workload[job])]
        if spans and begin <= spans[-1][1] + 0.5:
            spans[-1] = (spans[-1][0], max(end, spans[-1][1]))
        else:
            spans.append((begin, end))
    machines = sorted({m for m, _ in merged}, key=lambda m: (median_run.machines.get(m, ()), m))
    shown = set(machines[:MACHINES_MAX])
    figure = go.Figure()
    drawn = 0
    for (machine, name), spans in merged.items():
        if machine not in shown or drawn > BARS_MAX:
            continue
        drawn += len(spans)
        figure.add_bar(
            y=[machine] * len(spans),
            base=[begin for begin, _ in spans],
            x=[end - begin for begin, end in spans],
            orientation="h",
            marker={"color": colors[name], "line": {"width": 0}},
            opacity=0.75,
            name=name,
            legendgroup=name,
            showlegend=False,
            hovertemplate=f"{machine}<br>{name}<br>%{{base:.1f}} s, for %{{x:.1f}} s"
            "<extra></extra>",
        )
    for name, color in colors.items():
        figure.add_scatter(
            x=[None],
            y=[None],
            mode="markers",
            name=name,
            marker={"color": color, "symbol": "square"},
        )
    height = 160 + ROW_HEIGHT_PX * max(4, len(shown))
    figure.update_layout(barmode="overlay", height=height, xaxis_title="s after the start")
    figure.update_yaxes(categoryorder="array", categoryarray=list(reversed(machines)))
    return _styled(figure)


def usage_chart(study: Study) -> go.Figure:
    """CPUs up and in use, and waiting tasks by class, in the median run."""
    from plotly.subplots import make_subplots

    samples = study.median_run().samples
    at = [row["at"] for row in samples]
    names = sorted({name for row in samples for name in row["waiting"]})
    colors = _colors(sorted({view.name for view in study.classes} | set(names)))
    figure = make_subplots(
        rows=2, cols=1, shared_xaxes=True, vertical_spacing=0.09,
        subplot_titles=("CPUs", "tasks that wait"),
    )  # fmt: skip
    figure.add_scatter(x=at, y=[r["cpus"] for r in samples], name="there", row=1, col=1,
                       line={"color": "#999", "shape": "hv"})  # fmt: skip
    figure.add_scatter(x=at, y=[r["used"] for r in samples], name="in use", row=1, col=1,
                       fill="tozeroy", line={"color": "#2b6f8f", "shape": "hv"})  # fmt: skip
    for name in names:
        figure.add_scatter(
            x=at, y=[r["waiting"].get(name, 0) for r in samples], name=name, row=2, col=1,
            stackgroup="waiting", line={"color": colors[name], "width": 0.5},
        )  # fmt: skip
    figure.update_xaxes(title_text="s after the start", row=2, col=1)
    figure.update_layout(height=460)
    return _styled(figure)


def duration_chart(study: Study) -> go.Figure:
    """Simulated against recorded duration of each job; jobs that a change added are left out."""
    figure = go.Figure()
    colors = _colors([view.name for view in study.classes])
    known = [j for j in study.jobs if j.recorded_s and not math.isnan(j.took_s.median)]
    for name, color in colors.items():
        rows = [j for j in known if j.workload == name]
        if not rows:
            continue
        figure.add_scatter(
            x=[j.recorded_s for j in rows],
            y=[j.took_s.median for j in rows],
            error_y={
                "type": "data", "symmetric": False, "thickness": 1,
                "array": [j.took_s.high - j.took_s.median for j in rows],
                "arrayminus": [j.took_s.median - j.took_s.low for j in rows],
            },
            mode="markers", name=name, marker={"color": color, "size": 6},
            text=[j.id for j in rows],
            hovertemplate="%{text}<br>took %{x:.1f} s, would take %{y:.1f} s<extra></extra>",
        )  # fmt: skip
    axis_max = max((max(j.recorded_s, j.took_s.high) for j in known), default=1.0)
    figure.add_scatter(x=[0, axis_max], y=[0, axis_max], mode="lines", name="as it was",
                       line={"color": "#999", "dash": "dot"})  # fmt: skip
    figure.update_layout(height=460, xaxis_title="s it took", yaxis_title="s it would take")
    return _styled(figure)


def _styled(figure: go.Figure) -> go.Figure:
    figure.update_layout(
        template="plotly_white", margin={"l": 70, "r": 20, "t": 40, "b": 50},
        font={"family": "system-ui, sans-serif", "size": 12}, legend={"orientation": "h"},
    )  # fmt: skip
    return figure


def page(study: Study, question: Question | None, trace: str) -> str:
    """The report as one HTML page without external resources."""
    environment = jinja2.Environment(
        loader=jinja2.PackageLoader("coveflow.whatif", "."), autoescape=True, trim_blocks=True,
        lstrip_blocks=True,
    )  # fmt: skip
    figures = [duration_chart(study), usage_chart(study), fleet_chart(study)]
    titles = [
        "When each job would end, against when it did",
        "Use and queue, in the middle run",
        "The fleet, in the middle run",
    ]
    html = [
        # The library is included once, so that the page opens without network access.
        (title, figure.to_html(full_html=False, include_plotlyjs=index == 0))
        for index, (title, figure) in enumerate(zip(titles, figures, strict=True))
    ]
    return environment.get_template("page.html.j2").render(
        headline=answer(study, question) if question else None,
        study=study,
        summary=study.summary(),
        clock=_clock(study),
        figures=html,
        late=study.became_late()[:LATE_JOBS_MAX],
        late_count=len(study.became_late()),
        reasons=reasons,
        trace=trace,
        recorded={view.name: study.recorded_class(view.name) for view in study.classes},
    )


def write(study: Study, question: Question | None, trace: str, out: Path) -> list[Path]:
    """Write `report.html`, `summary.json` and `jobs.parquet`; returns their paths."""
    out.mkdir(parents=True, exist_ok=True)
    summary = study.summary()
    if question is not None:
        hits, runs = study.done_by(question.at, question.workload)
        p, low, high = probability(hits, runs)
        summary["question"] = {
            "by": question.text, "at_s": question.at, "class": question.workload,
            "runs_done": hits, "runs": runs, "probability": p, "interval": [low, high],
        }  # fmt: skip
    files = [out / "report.html", out / "summary.json", out / "jobs.parquet"]
    files[0].write_text(page(study, question, trace), encoding="utf-8")
    files[1].write_text(json.dumps(summary, indent=1) + "\n", encoding="utf-8")
    pq.write_table(study.table(), files[2], compression="zstd")
    return files
