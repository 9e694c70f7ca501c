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


HEAD = re.compile(r"^\s*(?:;[^\n]*\n\s*)*\(\s*([a-z-]+)")  # after comments: the form's first word


def check_one(path: Path) -> None:
    """Read the file as what its first word says it is; the error names what is wrong."""
    if path.suffix == ".toml":
        s.load(path)
        return
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise forms.FormError(f"{path}: {getattr(error, 'strerror', None) or error}") from error
    found = HEAD.match(text)
    head = found[1] if found else ""
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
    """Check files; the first thing wrong in each is named, and the exit status is 2."""
    bad = False
    for path in files:
        error = ""
        try:
            check_one(path)
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
