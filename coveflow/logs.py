"""Structured logging: one event name and key=value fields a line, or JSON.

A thin layer on the standard library's logging: `structlog` would be the kin of choice, but its
import is a tenth of the daemon's start-up time, in which running work may lose its leases.
"""

from __future__ import annotations

import json
import logging
import os
import sys
from typing import Any, TextIO

LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


class Log:
    """A named logger whose calls take an event and its fields; fields cost nothing when off."""

    __slots__ = ("_logger",)

    def __init__(self, name: str) -> None:
        self._logger = logging.getLogger(name)

    def debug(self, event: str, **fields: Any) -> None:
        if self._logger.isEnabledFor(logging.DEBUG):
            self._logger.debug(event, extra={"fields": fields})

    def info(self, event: str, **fields: Any) -> None:
        if self._logger.isEnabledFor(logging.INFO):
            self._logger.info(event, extra={"fields": fields})

    def warning(self, event: str, **fields: Any) -> None:
        self._logger.warning(event, extra={"fields": fields})

    def error(self, event: str, exc_info: Any = None, **fields: Any) -> None:
        self._logger.error(event, exc_info=exc_info, extra={"fields": fields})

    def exception(self, event: str, **fields: Any) -> None:
        self._logger.exception(event, extra={"fields": fields})


class Seldom:
    """Says when something that comes thousands of times is told: once in `every_s`, with how often.

    Wrong input that comes again and again must neither fill the log nor cost a process its time.
    """

    def __init__(self, every_s: float = 60.0) -> None:
        self.every_s, self.count, self.told = every_s, 0, -1e9

    def due(self, now: float) -> int:
        """How often it came since it was told, this time included; 0: not to be told yet."""
        self.count += 1
        if now - self.told < self.every_s:
            return 0
        self.told, count, self.count = now, self.count, 0
        return count


def _word(value: Any) -> str:
    """One value of a line; what has spaces or quotes is quoted, so that lines can be split."""
    if isinstance(value, float):
        return f"{value:.6g}"
    if isinstance(value, list | tuple | set):
        value = ",".join(str(item) for item in value)
    text = str(value)
    if text and not any(ch in ' "=\n\t' for ch in text):
        return text
    return json.dumps(text, ensure_ascii=False)


class Lines(logging.Formatter):
    """`time LEVEL logger event key=value ...`"""

    def format(self, record: logging.LogRecord) -> str:
        fields = getattr(record, "fields", {})
        line = " ".join(
            [
                self.formatTime(record),
                record.levelname,
                record.name,
                record.getMessage(),
                *(f"{key}={_word(value)}" for key, value in fields.items()),
            ]
        )
        if record.exc_info:
            line += "\n" + self.formatException(record.exc_info)
        return line


class Json(logging.Formatter):
    """One JSON object a line, its fields beside `at` (s, time of day), `level` and `event`."""

    def format(self, record: logging.LogRecord) -> str:
        entry: dict[str, Any] = {
            "at": round(record.created, 6),
            "level": record.levelname.lower(),
            "logger": record.name,
            "event": record.getMessage(),
            **getattr(record, "fields", {}),
        }
        if record.exc_info:
            entry["exception"] = self.formatException(record.exc_info)
        return json.dumps(entry, ensure_ascii=False, default=str)


def configure(stream: TextIO | None = None) -> None:
    """Log as LOG_LEVEL (error, info, debug) and LOG_FORMAT (text, json) say; to standard error."""
    level = LEVELS.get(os.environ.get("LOG_LEVEL", "info").lower(), logging.INFO)
    handler = logging.StreamHandler(stream or sys.stderr)
    json_form = os.environ.get("LOG_FORMAT", "text").lower() == "json"
    handler.setFormatter(Json() if json_form else Lines())
    logging.basicConfig(level=level, handlers=[handler], force=True)
    logging.getLogger("asyncio").setLevel(logging.WARNING)
