"""
From a TOML text to one of the shared tuples, with every error at once.

A text is read, each of its entries is checked against the tuple's types, and then
the stages of the caller look at what only the whole shows, such as two targets on
one address. Errors are values and are returned together, sorted by line.
"""

import tomllib

from pydantic import TypeAdapter, ValidationError
from returns.result import Failure, Success

from ..core.data import ParseError
from .places import find_line, index_lines


def parse_text(text, source, shape, stages=()):
    """
    Parse a text into a tuple of the given shape.

    Args:
      text: The TOML text.
      source: The name of the file or version, for the errors.
      shape: The named tuple class that the text must fit.
      stages: Functions that take the parsed tuple and yield pairs of a path and a
        message for what is wrong with it.
    Returns:
      A `Success` of the tuple, or a `Failure` of a list of `Error`.
    """
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as exc:
        return Failure([ParseError(source, _line_of(exc), str(exc), "text")])
    lines = index_lines(text)
    try:
        value = TypeAdapter(shape).validate_python(raw)
    except ValidationError as exc:
        found = [(item["loc"], _message(item)) for item in _causes(exc.errors())]
        return Failure(_as_errors(found, source, lines))
    found = [pair for stage in stages for pair in stage(value)]
    if found:
        return Failure(_as_errors(found, source, lines))
    return Success(value)


def _causes(items):
    """
    Return the errors without those that only follow from another one.

    A list whose only entry is wrong is also reported as too short.
    """
    places = [item["loc"] for item in items]
    return [
        item
        for item in items
        if item["type"] != "too_short"
        or not any(
            len(place) > len(item["loc"]) and place[: len(item["loc"])] == item["loc"]
            for place in places
        )
    ]


def _message(item):
    """Return one sentence for what pydantic found."""
    if item["type"] == "extra_forbidden":
        return "unknown key"
    if item["type"] == "missing":
        return "this key is missing"
    return f"{item['msg']} (got {str(item['input'])[:60]!r})"


def _line_of(exc):
    """Return the line that tomllib's message ends with, or one."""
    words = str(exc).split("line ")
    digits = words[-1].split(",")[0] if len(words) > 1 else ""
    return int(digits) if digits.isdigit() else 1


def _as_errors(found, source, lines):
    """Return pairs of path and message as errors, in the order of their lines."""
    errors = [
        ParseError(source, find_line(lines, path), message, ".".join(map(str, path)))
        for path, message in found
    ]
    return sorted(errors, key=lambda error: (error.line, error.entry))
