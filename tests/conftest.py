"""What holds for all tests."""

from pathlib import Path

# Its plugin loads it at the end where no test did, too deep in calls for CPython 3.11 to parse it.
import hypothesis  # noqa: F401
import pytest

from tests import known_red


def _listed(config) -> dict[str, known_red.Red]:
    lines = known_red.lines_of(Path(config.rootpath))
    return {red.test: red for red in map(known_red.parsed, lines) if red is not None}


def pytest_collection_modifyitems(config, items) -> None:
    reds = _listed(config)
    for item in items:
        red = reds.get(item.nodeid)
        if red is not None:
            reason = f"{red.cause} ({red.issue})"
            item.add_marker(pytest.mark.xfail(reason=reason, strict=True, run=True))


def pytest_terminal_summary(terminalreporter, config) -> None:
    reds = _listed(config)
    for report in terminalreporter.stats.get("xfailed", ()):
        red = reds.get(report.nodeid)
        if red is not None:
            terminalreporter.write_line(f"KNOWN RED {red.test}: {red.cause} ({red.issue})")
