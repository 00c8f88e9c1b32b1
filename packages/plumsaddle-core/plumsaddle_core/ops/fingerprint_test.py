"""
Tests of the key under which a request is known when its caller comes again.
"""

import itertools

from .fingerprint import request_key

ONE = ("records.example", "POST", "/look/a?b=1", "10.0.0.1", b"abc", 3)
OTHERS = [
    ("records.examplf", "POST", "/look/a?b=1", "10.0.0.1", b"abc", 3),
    ("records.example", "PUT", "/look/a?b=1", "10.0.0.1", b"abc", 3),
    ("records.example", "POST", "/look/a?b=2", "10.0.0.1", b"abc", 3),
    ("records.example", "POST", "/look/a?b=1", "10.0.0.2", b"abc", 3),
    ("records.example", "POST", "/look/a?b=1", "10.0.0.1", b"abd", 3),
    # A longer upload with the same first part, and one of unknown length.
    ("records.example", "POST", "/look/a?b=1", "10.0.0.1", b"abc", 4),
    ("records.example", "POST", "/look/a?b=1", "10.0.0.1", b"abc", None),
    # The same text, parted elsewhere.
    ("records.example", "POST/", "look/a?b=1", "10.0.0.1", b"abc", 3),
]


def test_a_request_that_comes_again_has_the_same_key():
    assert request_key(*ONE) == request_key("Records.Example", *ONE[1:])


def test_requests_that_differ_in_anything_have_other_keys():
    keys = [request_key(*fields) for fields in (ONE, *OTHERS)]
    assert all(a != b for a, b in itertools.combinations(keys, 2))


def test_a_path_that_is_no_text_has_a_key():
    assert request_key("h", "GET", "/look/\udcff", "10.0.0.1", b"", 0)
