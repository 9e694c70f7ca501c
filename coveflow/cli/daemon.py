"""`coveflow run` and `coveflow check`."""

from __future__ import annotations

import json
import sys
from pathlib import Path

import click

from coveflow import forms
from coveflow import settings as s
from coveflow.daemon import program


@click.command()
@click.option("--config", type=click.Path(path_type=Path), required=True, help="Settings (TOML).")
@click.option("--tuning", type=click.Path(path_type=Path), help="Operators' S-expressions.")
def run(config: Path, tuning: Path | None) -> None:
    """Run a controller until it is killed."""
    sys.exit(program.serve(config, tuning))


@click.command()
@click.argument("files", nargs=-1, required=True, type=click.Path(path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="One JSON object a line.")
def check(files: tuple[Path, ...], as_json: bool) -> None:
    """Check files; the first thing wrong in each is named, and the exit status is 2."""
    bad = False
    for path in files:
        error = ""
        try:
            program.check(path)
        except (s.SettingsError, forms.FormError) as found:
            error, bad = str(found), True
        if as_json:
            click.echo(json.dumps({"file": str(path), "good": not error, "error": error or None}))
        elif error:
            click.echo(f"coveflow: {error}", err=True)
        else:
            click.echo(f"{path}: good")
    if bad:
        sys.exit(2)
