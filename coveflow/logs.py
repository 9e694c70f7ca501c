"""Structured logging: an event name and key=value fields per line, or JSON.

A thin layer on the standard library's logging. `structlog` is not used because its import takes a
tenth of the daemon's start-up time, during which running work may lose its leases.
"""

from __future__ import annotations

import json
import logging
import os
import sys
from typing import Any, TextIO

LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


class Log:
    """A named logger that takes an event and its fields; a disabled debug or info call is cheap."""

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


class LogThrottle:
    """Limits a repeated log message to one per `every_s`, with the number of occurrences.

    Repeated invalid input must neither fill the log nor use up a process's time.
    """

    def __init__(self, every_s: float = 60.0) -> None:
        self.every_s, self.count, self.last_due_at = every_s, 0, -1e9

    def due(self, now: float) -> int:
        """Occurrences since the last message, including this one; 0 if no message is due yet."""
        self.count += 1
        if now - self.last_due_at < self.every_s:
            return 0
        self.last_due_at, count, self.count = now, self.count, 0
        return count


def _format_value(value: Any) -> str:
    """Format a value for a line; it is quoted if it has spaces or quotes, so lines can be split."""
    if isinstance(value, float):
        return f"{value:.6g}"
    if isinstance(value, list | tuple | set):
        value = ",".join(str(item) for item in value)
    text = str(value)
    if text and not any(ch in ' "=\n\t' for ch in text):
        return text
    return json.dumps(text, ensure_ascii=False)


class TextFormatter(logging.Formatter):
    """Formats a record as `time LEVEL logger event key=value ...`."""

    def format(self, record: logging.LogRecord) -> str:
        fields = getattr(record, "fields", {})
        line = " ".join(
            [
                self.formatTime(record),
                record.levelname,
                record.name,
                record.getMessage(),
                *(f"{key}={_format_value(value)}" for key, value in fields.items()),
            ]
        )
        if record.exc_info:
            line += "\n" + self.formatException(record.exc_info)
        return line


class JsonFormatter(logging.Formatter):
    """Formats a record as JSON: its fields with `at` (s, Unix time), `level` and `event`."""

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
    """Log to standard error, by LOG_LEVEL (error, info, debug) and LOG_FORMAT (text, json)."""
    level = LEVELS.get(os.environ.get("LOG_LEVEL", "info").lower(), logging.INFO)
    handler = logging.StreamHandler(stream or sys.stderr)
    use_json = os.environ.get("LOG_FORMAT", "text").lower() == "json"
    handler.setFormatter(JsonFormatter() if use_json else TextFormatter())
    logging.basicConfig(level=level, handlers=[handler], force=True)
    logging.getLogger("asyncio").setLevel(logging.WARNING)
