"""Configuration of all tests: expected failures from KNOWN-RED.txt."""

from pathlib import Path

# If no test imports it, its pytest plugin does so at the end of the run, where the call stack is
# too deep for CPython 3.11 to parse it.
import hypothesis  # noqa: F401
import pytest

from tests import known_red


def _known_failures(config) -> dict[str, known_red.KnownFailure]:
    lines = known_red.read_lines(Path(config.rootpath))
    return {entry.test: entry for entry in map(known_red.parse_line, lines) if entry is not None}


def pytest_collection_modifyitems(config, items) -> None:
    known = _known_failures(config)
    for item in items:
        entry = known.get(item.nodeid)
        if entry is not None:
            reason = f"{entry.cause} ({entry.issue})"
            item.add_marker(pytest.mark.xfail(reason=reason, strict=True, run=True))


def pytest_terminal_summary(terminalreporter, config) -> None:
    known = _known_failures(config)
    for report in terminalreporter.stats.get("xfailed", ()):
        entry = known.get(report.nodeid)
        if entry is not None:
            terminalreporter.write_line(f"KNOWN RED {entry.test}: {entry.cause} ({entry.issue})")
