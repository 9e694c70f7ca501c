"""Reading operators' S-expressions: plain lists, words and numbers, with errors that name a place.

`sexpdata` does the parsing; it is imported only by those who have a file of their own.
"""

from __future__ import annotations

from typing import Any


class FormError(ValueError):
    """A form is wrong; the text names the file and the form, and what would be right."""


def read(text: str, origin: str, head: str) -> list[Any]:
    """The items of the one form `(head item ...)` in the text; symbols become words.

    Raises FormError for anything else.
    """
    import sexpdata

    try:
        forms = sexpdata.parse(text, nil=None, true=None, false=None, line_comment=";")
    except Exception as error:  # the parser raises several unrelated types
        raise FormError(f"{origin}: not an S-expression: {error}") from error
    if len(forms) != 1 or not isinstance(forms[0], list) or not forms[0]:
        raise FormError(f"{origin}: the file must hold one form: ({head} ...)")
    items = _plain(forms[0], origin)
    if items[0] != head:
        raise FormError(f"{origin}: the form must be ({head} ...), not ({show(items[0])} ...)")
    return items[1:]


def _plain(value: Any, origin: str) -> Any:
    import sexpdata

    if isinstance(value, sexpdata.Symbol):
        return value.value()
    if isinstance(value, list):
        return [_plain(item, origin) for item in value]
    if isinstance(value, str | int | float | bool):
        return value
    raise FormError(f"{origin}: quotes and brackets have no meaning here: {value!r}")


def show(value: Any) -> str:
    """A plain value as an operator would write it."""
    if isinstance(value, list | tuple):
        return "(" + " ".join(show(item) for item in value) + ")"
    if isinstance(value, str) and (not value or any(ch in value for ch in ' ()"\n\t;')):
        return '"' + value.replace("\\", "\\\\").replace('"', '\\"') + '"'
    if value is True or value is False:
        return "yes" if value else "no"
    return str(value)


def entry(item: Any, origin: str) -> tuple[str, list[Any]]:
    """`(key value ...)` as key and values."""
    if not isinstance(item, list) or len(item) < 2 or not isinstance(item[0], str):
        raise FormError(f"{origin}: {show(item)} is not (key value)")
    return item[0], item[1:]


def table(items: list[Any], origin: str) -> dict[str, list[Any]]:
    """`(key value ...)` forms as a table; a key given twice is an error."""
    found: dict[str, list[Any]] = {}
    for item in items:
        key, values = entry(item, origin)
        if key in found:
            raise FormError(f"{origin}: {key} is given twice")
        found[key] = values
    return found


def one(key: str, values: list[Any], origin: str) -> Any:
    """The one value of a key."""
    if len(values) != 1:
        raise FormError(f"{origin}: {key} takes one value")
    return values[0]


def number(key: str, values: list[Any], origin: str, least: float | None = None) -> float:
    """The one number of a key, at least `least`."""
    value = one(key, values, origin)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise FormError(f"{origin}: {key} takes a number, not {show(value)}")
    if value != value or value in (float("inf"), float("-inf")):
        raise FormError(f"{origin}: {key} takes a finite number")
    if least is not None and value < least:
        raise FormError(f"{origin}: {key} takes a number of at least {least:g}, not {value:g}")
    return float(value)


def word(key: str, values: list[Any], origin: str, among: tuple[str, ...] = ()) -> str:
    """The one word of a key, among those allowed."""
    value = one(key, values, origin)
    if not isinstance(value, str) or not value:
        raise FormError(f"{origin}: {key} takes a word, not {show(value)}")
    if among and value not in among:
        raise FormError(f"{origin}: {key} takes one of {', '.join(among)}, not {value}")
    return value


def yes(key: str, values: list[Any], origin: str) -> bool:
    """The yes or no of a key."""
    return word(key, values, origin, ("yes", "no")) == "yes"
