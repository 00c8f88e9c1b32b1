"""
Line numbers of the entries of a TOML text.

The standard library's TOML parser reports no line numbers for valid entries, but error
messages need them. An index maps the path of an entry to the line where it begins; a
path that is not in the index gets the line of its nearest ancestor.
"""

import re

TABLE_HEADER = re.compile(r"^\s*(\[\[?)\s*([A-Za-z0-9_.\"' -]+?)\s*\]\]?\s*(#.*)?$")
ASSIGNMENT = re.compile(r"^\s*([A-Za-z0-9_.-]+)\s*=")


def index_lines(text):
    """
    Return the line of every table and key in a text.

    Args:
      text: A TOML text.
    Returns:
      A dict from path, a tuple of names and list indices, to line number.
    """
    lines = {(): 1}
    counts = {}
    path = ()
    for number, line in enumerate(text.splitlines(), 1):
        table = TABLE_HEADER.match(line)
        if table:
            path = _table_path(table.group(2), table.group(1) == "[[", counts)
            lines.setdefault(path, number)
            continue
        assignment = ASSIGNMENT.match(line)
        if assignment:
            lines.setdefault(path + tuple(assignment.group(1).split(".")), number)
    return lines


def _table_path(name, is_array, counts):
    """
    Return the path of a table header and count the elements of arrays.

    Args:
      name: The dotted name in the header.
      is_array: Whether the header opens a new element of an array of tables.
      counts: The number of elements of each array so far; modified in place.
    Returns:
      The path, with the element's index after each array's name.
    """
    path = ()
    parts = name.split(".")
    for position, part in enumerate(parts):
        path += (part.strip().strip("\"'"),)
        is_last = position == len(parts) - 1
        if is_array and is_last:
            counts[path] = counts.get(path, 0) + 1
        if path in counts:
            path += (counts[path] - 1,)
    return path


def find_line(lines, path):
    """
    Return the line of a path or of its nearest ancestor.

    Args:
      lines: The result of `index_lines`.
      path: The path of an entry.
    Returns:
      A line number, starting at 1.
    """
    path = tuple(path)
    while path not in lines:
        path = path[:-1]
    return lines[path]
