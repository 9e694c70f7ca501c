"""Read operators' S-expressions: plain lists, words and numbers; errors name the file and form.

`sexpdata` does the parsing. It is imported only when a file is read, since its import would delay
the start of the daemon.
"""

from __future__ import annotations

from typing import Any


class FormError(ValueError):
    """A form is invalid; the text names the file and the form, and what is expected."""


def read(text: str, origin: str, head: str) -> list[Any]:
    """Return the items of the single form `(head item ...)` in the text; symbols become strings.

    Raises FormError for anything else.
    """
    import sexpdata

    try:
        forms = sexpdata.parse(text, nil=None, true=None, false=None, line_comment=";")
    except Exception as error:  # the parser raises several unrelated types
        raise FormError(f"{origin}: not an S-expression: {error}") from error
    if len(forms) != 1 or not isinstance(forms[0], list) or not forms[0]:
        raise FormError(f"{origin}: the file must hold one form: ({head} ...)")
    items = _to_plain(forms[0], origin)
    if items[0] != head:
        raise FormError(
            f"{origin}: the form must be ({head} ...), not ({format_form(items[0])} ...)"
        )
    return items[1:]


def _to_plain(value: Any, origin: str) -> Any:
    import sexpdata

    if isinstance(value, sexpdata.Symbol):
        return value.value()
    if isinstance(value, list):
        return [_to_plain(item, origin) for item in value]
    if isinstance(value, str | int | float | bool):
        return value
    raise FormError(f"{origin}: quotes and brackets have no meaning here: {value!r}")


def format_form(value: Any) -> str:
    """Format a plain value as an S-expression."""
    if isinstance(value, list | tuple):
        return "(" + " ".join(format_form(item) for item in value) + ")"
    if isinstance(value, str) and (not value or any(ch in value for ch in ' ()"\n\t;')):
        return '"' + value.replace("\\", "\\\\").replace('"', '\\"') + '"'
    if value is True or value is False:
        return "yes" if value else "no"
    return str(value)


def entry(item: Any, origin: str) -> tuple[str, list[Any]]:
    """Split `(key value ...)` into key and values."""
    if not isinstance(item, list) or len(item) < 2 or not isinstance(item[0], str):
        raise FormError(f"{origin}: {format_form(item)} is not (key value)")
    return item[0], item[1:]


def table(items: list[Any], origin: str) -> dict[str, list[Any]]:
    """Collect `(key value ...)` forms in a dict; a duplicate key is an error."""
    result: dict[str, list[Any]] = {}
    for item in items:
        key, values = entry(item, origin)
        if key in result:
            raise FormError(f"{origin}: {key} is given twice")
        result[key] = values
    return result


def single_value(key: str, values: list[Any], origin: str) -> Any:
    """Return the single value of a key."""
    if len(values) != 1:
        raise FormError(f"{origin}: {key} takes one value")
    return values[0]


def number(key: str, values: list[Any], origin: str, least: float | None = None) -> float:
    """Return the single number of a key, which must be at least `least`."""
    value = single_value(key, values, origin)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise FormError(f"{origin}: {key} takes a number, not {format_form(value)}")
    if value != value or value in (float("inf"), float("-inf")):
        raise FormError(f"{origin}: {key} takes a finite number")
    if least is not None and value < least:
        raise FormError(f"{origin}: {key} takes a number of at least {least:g}, not {value:g}")
    return float(value)


def word(key: str, values: list[Any], origin: str, among: tuple[str, ...] = ()) -> str:
    """Return the single word of a key, which must be one of `among` if given."""
    value = single_value(key, values, origin)
    if not isinstance(value, str) or not value:
        raise FormError(f"{origin}: {key} takes a word, not {format_form(value)}")
    if among and value not in among:
        raise FormError(f"{origin}: {key} takes one of {', '.join(among)}, not {value}")
    return value


def boolean(key: str, values: list[Any], origin: str) -> bool:
    """Return the boolean value (yes or no) of a key."""
    return word(key, values, origin, ("yes", "no")) == "yes"
