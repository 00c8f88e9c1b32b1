"""
Find the line of an entry in a TOML text.

The standard library's TOML reader tells no lines, and an operator with fifty
targets needs them. A text becomes a map from the path of an entry to the line where
it begins; a path that is not in the map takes its nearest parent's line.
"""

import re

TABLE = re.compile(r"^\s*(\[\[?)\s*([A-Za-z0-9_.\"' -]+?)\s*\]\]?\s*(#.*)?$")
ASSIGNMENT = re.compile(r"^\s*([A-Za-z0-9_.-]+)\s*=")


def index_lines(text):
    """
    Return the line of every table and every key in a text.

    Args:
      text: A TOML text.
    Returns:
      A dict from a path, a tuple of names and positions, to a line number.
    """
    lines = {(): 1}
    counts = {}
    path = ()
    for number, line in enumerate(text.splitlines(), 1):
        table = TABLE.match(line)
        if table:
            path = _enter_table(table.group(2), table.group(1) == "[[", counts)
            lines.setdefault(path, number)
            continue
        assignment = ASSIGNMENT.match(line)
        if assignment:
            lines.setdefault(path + tuple(assignment.group(1).split(".")), number)
    return lines


def _enter_table(name, is_array, counts):
    """
    Return the path of a table header.

    Args:
      name: The dotted name in the header.
      is_array: Whether the header opens a new element of an array of tables.
      counts: The number of elements seen of each array so far; it is updated.
    Returns:
      The path, with the element's position behind each array's name.
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
    Return the line of a path or of its nearest parent.

    Args:
      lines: What `index_lines` returned.
      path: The path of an entry.
    Returns:
      A line number, at least one.
    """
    path = tuple(path)
    while path not in lines:
        path = path[:-1]
    return lines[path]
