"""
Parses TOML into the data types of `core/data.py` and collects all errors.

Entries are validated against the type's fields first. If they are valid, the caller's
checks look for inconsistencies between entries, such as two targets with the same
address. Errors are returned together, sorted by line.
"""

import tomllib

from pydantic import TypeAdapter, ValidationError
from returns.result import Failure, Success

from ..core.data import ParseError
from .line_index import find_line, index_lines


def parse_text(text, source, schema, checks=()):
    """
    Parse TOML text into a named tuple.

    Args:
      text: The TOML text.
      source: The name of the file or version, for error messages.
      schema: The named tuple class that the text must match.
      checks: Functions that take the parsed tuple and yield a pair of path and message
        for each error.
    Returns:
      A `Success` of the tuple, or a `Failure` of a list of `ParseError`.
    """
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as exc:
        return Failure([ParseError(source, _line_of(exc), str(exc), "text")])
    lines = index_lines(text)
    try:
        value = TypeAdapter(schema).validate_python(raw)
    except ValidationError as exc:
        found = [(item["loc"], _message(item)) for item in _root_errors(exc.errors())]
        return Failure(_as_errors(found, source, lines))
    found = [pair for check in checks for pair in check(value)]
    if found:
        return Failure(_as_errors(found, source, lines))
    return Success(value)


def _root_errors(items):
    """
    Return the errors without those caused by another one.

    Pydantic also reports a list as too short if its only entry is invalid.
    """
    paths = [item["loc"] for item in items]
    return [
        item
        for item in items
        if item["type"] != "too_short"
        or not any(
            len(path) > len(item["loc"]) and path[: len(item["loc"])] == item["loc"]
            for path in paths
        )
    ]


def _message(item):
    """Return the message for an error found by pydantic."""
    if item["type"] == "extra_forbidden":
        return "unknown key"
    if item["type"] == "missing":
        return "this key is missing"
    return f"{item['msg']} (got {str(item['input'])[:60]!r})"


def _line_of(exc):
    """Return the line number in tomllib's message, or 1 if it has none."""
    words = str(exc).split("line ")
    digits = words[-1].split(",")[0] if len(words) > 1 else ""
    return int(digits) if digits.isdigit() else 1


def _as_errors(found, source, lines):
    """Convert pairs of path and message to errors sorted by line."""
    errors = [
        ParseError(source, find_line(lines, path), message, ".".join(map(str, path)))
        for path, message in found
    ]
    return sorted(errors, key=lambda error: (error.line, error.entry))
