"""KNOWN-RED.txt: tests that fail because of a real fault that is not fixed yet.

One line each, at most three: `test | cause | issue`. A listed test runs and is expected to fail. It
is printed with its cause; once it passes, it fails the run until its line is removed.
"""

from pathlib import Path
from typing import NamedTuple

FILE_NAME, MAX_ENTRIES = "KNOWN-RED.txt", 3


class KnownFailure(NamedTuple):
    test: str
    cause: str
    issue: str


def read_lines(root: Path) -> list[str]:
    path = root / FILE_NAME
    text = path.read_text() if path.exists() else ""
    return [line.strip() for line in text.splitlines() if line.strip()]


def parse_line(line: str) -> KnownFailure | None:
    """Parse a line; None if it lacks a test, a cause or an issue."""
    fields = [field.strip() for field in line.split("|")]
    if len(fields) != 3 or not all(fields) or "::" not in fields[0]:
        return None
    return KnownFailure(*fields)


def find_errors(root: Path) -> list[str]:
    """Errors in the format of the file; whether its tests exist is checked with pytest."""
    lines = read_lines(root)
    errors = [f"not `test | cause | issue`: {line}" for line in lines if parse_line(line) is None]
    if len(lines) > MAX_ENTRIES:
        errors.append(f"{len(lines)} lines, and {MAX_ENTRIES} at most may be known to fail")
    return errors
