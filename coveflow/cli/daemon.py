"""`coveflow run` and `coveflow check`."""

from __future__ import annotations

import json
import re
import sys
from pathlib import Path

import click

from coveflow import forms, program
from coveflow import settings as s


@click.command()
@click.option("--config", type=click.Path(path_type=Path), required=True, help="Settings (TOML).")
@click.option("--tuning", type=click.Path(path_type=Path), help="Operators' S-expressions.")
def run(config: Path, tuning: Path | None) -> None:
    """Run a controller until it is killed."""
    sys.exit(program.serve(config, tuning))


FORM_NAME = re.compile(r"^\s*(?:;[^\n]*\n\s*)*\(\s*([a-z-]+)")  # skips comments before it


def check_file(path: Path) -> None:
    """Parse the file as the kind that its first form names; the error raised says what is wrong."""
    if path.suffix == ".toml":
        s.load(path)
        return
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise forms.FormError(f"{path}: {getattr(error, 'strerror', None) or error}") from error
    match = FORM_NAME.match(text)
    head = match[1] if match else ""
    if head == "tokens":
        from coveflow.tes import access

        access.parse_tokens(text, str(path))
    elif head in ("lab", "faults", "experiment", "change"):
        from coveflow.lab import experiment, faults, site
        from coveflow.whatif import changes

        parse = {
            "lab": site.parse, "faults": faults.parse, "experiment": experiment.parse_matrix,
            "change": changes.parse,
        }[head]  # fmt: skip
        parse(text, str(path))
    else:
        s.parse_tuning(text, str(path))


@click.command()
@click.argument("files", nargs=-1, required=True, type=click.Path(path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="One JSON object a line.")
def check(files: tuple[Path, ...], as_json: bool) -> None:
    """Check files; prints the first error of each, and exits with status 2 if there is one."""
    bad = False
    for path in files:
        error = ""
        try:
            check_file(path)
        except (s.SettingsError, forms.FormError) as fault:
            error, bad = str(fault), True
        if as_json:
            click.echo(json.dumps({"file": str(path), "good": not error, "error": error or None}))
        elif error:
            click.echo(f"coveflow: {error}", err=True)
        else:
            click.echo(f"{path}: good")
    if bad:
        sys.exit(2)
