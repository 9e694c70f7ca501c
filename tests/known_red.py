"""KNOWN-RED.txt: tests that fail for a real fault which is not mended yet.

One line each, at most three: `test | cause | issue`. A listed test runs and is expected to fail; it
is printed with its cause, and fails the run once it passes, until its line goes.
"""

from pathlib import Path
from typing import NamedTuple

NAME, MOST = "KNOWN-RED.txt", 3


class Red(NamedTuple):
    test: str
    cause: str
    issue: str


def lines_of(root: Path) -> list[str]:
    path = root / NAME
    text = path.read_text() if path.exists() else ""
    return [line.strip() for line in text.splitlines() if line.strip()]


def parsed(line: str) -> Red | None:
    """What the line says, or None where it lacks a test, a cause or an issue."""
    fields = [field.strip() for field in line.split("|")]
    if len(fields) != 3 or not all(fields) or "::" not in fields[0]:
        return None
    return Red(*fields)


def wrong(root: Path) -> list[str]:
    """What is wrong with the file itself; whether its tests exist is asked of pytest."""
    lines = lines_of(root)
    found = [f"not `test | cause | issue`: {line}" for line in lines if parsed(line) is None]
    if len(lines) > MOST:
        found.append(f"{len(lines)} lines, and {MOST} at most may be known to fail")
    return found
