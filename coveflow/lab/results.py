"""Writes an experiment's results: Parquet with a row per class and case, and an HTML page."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import jinja2
import plotly.graph_objects as go
import pyarrow as pa
import pyarrow.parquet as pq

FIGURES = {
    "median_s": "median s from submission to done",
    "p95_s": "95th percentile of it, s",
    "in_time": "share by the deadline",
}

PAGE = """<!doctype html><html lang="en"><head><meta charset="utf-8"><title>{{ title }}</title>
<style>body{font:15px/1.45 system-ui,sans-serif;max-width:1000px;margin:2rem auto;padding:0 1rem}
table{border-collapse:collapse}
td,th{padding:.25rem .7rem;border-bottom:1px solid #ddd;text-align:right}
td:first-child,th:first-child{text-align:left}</style></head><body>
<h1>{{ title }}</h1><p>Stand-in machines on loopback; each point is one evening.</p>
{% for html in figures %}{{ html | safe }}{% endfor %}
<table><tr>{% for name in columns %}<th>{{ name }}</th>{% endfor %}</tr>
{% for row in rows %}<tr>{% for name in columns %}<td>
{%- if row[name] is float %}{{ "%.3f" % row[name] }}{% elif row[name] is not none %}{{ row[name] }}
{%- endif %}</td>{% endfor %}</tr>
{% endfor %}</table></body></html>"""


def class_rows(case: tuple[str, float, int], found: dict[str, Any]) -> list[dict[str, Any]]:
    """A row per job class of one run; times in s, latencies in ms, cost at the lab's prices."""
    tuning, factor, seed = case
    ms = found["submit_ms"]
    return [
        {
            "tuning": tuning, "factor": factor, "seed": seed, "class": name, "jobs": row["jobs"],
            "done": row["done"], "in_time": row["in_time"], "median_s": row["median_s"],
            "p95_s": row["p95_s"], "submit_p50_ms": ms.get("p50"), "submit_p99_ms": ms.get("p99"),
            "paid": found["paid"], "puts": found["puts"], "broken": len(found["broken"]),
        }
        for name, row in found["classes"].items()
    ]  # fmt: skip


def figure(rows: list[dict[str, Any]], key: str) -> go.Figure:
    """A box plot of one metric for each class, by tuning and factor, over the seeds."""
    shown = go.Figure()
    for name in sorted({row["class"] for row in rows}):
        own = [row for row in rows if row["class"] == name and row[key] is not None]
        if own:
            shown.add_box(
                x=[f"{row['tuning']}, x{row['factor']:g}" for row in own],
                y=[row[key] for row in own],
                name=name,
                boxpoints="all",
            )
    shown.update_layout(
        template="plotly_white", boxmode="group", height=360, yaxis_title=FIGURES[key]
    )
    return shown


def write(rows: list[dict[str, Any]], title: str, out: Path) -> list[Path]:
    """Write `results.parquet` and `results.html` into the folder; returns their paths."""
    out.mkdir(parents=True, exist_ok=True)
    files = [out / "results.parquet", out / "results.html"]
    pq.write_table(pa.Table.from_pylist(rows), files[0], compression="zstd")
    figures = [
        figure(rows, key).to_html(full_html=False, include_plotlyjs=index == 0)
        for index, key in enumerate(FIGURES)
    ]
    page = jinja2.Environment(autoescape=True).from_string(PAGE)
    text = page.render(
        title=title, figures=figures, rows=rows, columns=list(rows[0] if rows else [])
    )
    files[1].write_text(text, encoding="utf-8")
    return files
