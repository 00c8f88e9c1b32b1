"""
Between the core's tuples and the messages that hosts exchange.

Reporters and targets are long texts that come many times in one digest, so each
stands once in a list of names and the rows hold its position.
"""

from typing import NamedTuple

from plumsaddle_core.ops.drain_marks import Mark
from plumsaddle_core.ops.evidence import Row
from plumsaddle_core.ops.members import Member

from . import exchange_pb2 as pb


class News(NamedTuple):
    """What one host tells another in one exchange."""

    members: list
    rows: list
    marks: list


def to_digest(news):
    """Return the message for some `News`."""
    positions = {}

    def place(name):
        return positions.setdefault(name, len(positions))

    rows = [
        pb.Row(
            reporter=place(row.reporter),
            target=place(row.target),
            good=row.good,
            slow=row.slow,
            failed=row.failed,
        )
        for row in news.rows
    ]
    marks = [
        pb.Mark(target=place(mark.target), seconds=mark.ttl) for mark in news.marks
    ]
    members = [pb.Member(**row._asdict()) for row in news.members]
    return pb.Digest(names=list(positions), members=members, rows=rows, marks=marks)


def from_digest(digest):
    """
    Return the `News` in a message.

    Args:
      digest: A `Digest`; rows whose positions lie outside the names are dropped.
    Returns:
      A `News`.
    """
    names = list(digest.names)
    count = len(names)
    rows = [
        Row(names[row.reporter], names[row.target], row.good, row.slow, row.failed)
        for row in digest.rows
        if row.reporter < count and row.target < count
    ]
    marks = [
        Mark(names[mark.target], mark.seconds)
        for mark in digest.marks
        if mark.target < count
    ]
    members = [
        Member(
            row.id,
            row.incarnation,
            row.beat,
            row.address,
            row.data_centre,
            row.version,
            row.is_leaving,
            row.is_suspect_itself,
        )
        for row in digest.members
    ]
    return News(members, rows, marks)
