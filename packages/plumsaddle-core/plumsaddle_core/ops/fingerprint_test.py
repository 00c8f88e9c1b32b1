"""
Tests of the key under which a request is known when its caller comes again.
"""

import itertools

from .fingerprint import MAX_HASHED_BODY, request_key


def _headers(host=b"records.example", **more):
    pairs = [(b"Host", host), (b"Request-Id", b"1"), (b"Accept", b"*/*")]
    return pairs + [(name.encode(), value) for name, value in more.items()]


ONE = ("POST", "/look/a?b=1", _headers(), b"abc")
OTHERS = [
    ("PUT", "/look/a?b=1", _headers(), b"abc"),
    ("POST", "/look/a?b=2", _headers(), b"abc"),
    ("POST", "/look/a?b=1", _headers(b"records.examplf"), b"abc"),
    ("POST", "/look/a?b=1", _headers(authorization=b"one"), b"abc"),
    ("POST", "/look/a?b=1", _headers(authorization=b"two"), b"abc"),
    ("POST", "/look/a?b=1", _headers(cookie=b"one"), b"abc"),
    ("POST", "/look/a?b=1", _headers(), b"abd"),
    # The same text, parted elsewhere.
    ("POST/", "look/a?b=1", _headers(), b"abc"),
]


def test_a_request_that_comes_again_has_the_same_key():
    """
    A request that ends its targets is taken for a new one each time.

    Its id, the time that it may take and the trace that it is part of are new.
    """
    again = [
        (b"HOST", b"Records.Example"),
        (b"request-id", b"2"),
        (b"deadline-ms", b"1200"),
        (b"traceparent", b"00-4bf92f"),
    ]
    assert request_key(*ONE) == request_key(*ONE[:2], again, *ONE[3:])


def test_requests_that_differ_in_anything_have_other_keys():
    keys = [request_key(*fields) for fields in (ONE, *OTHERS)]
    assert all(a != b for a, b in itertools.combinations(keys, 2))


def test_a_path_that_is_no_text_has_a_key():
    assert request_key("GET", "/look/\udcff", [], b"")


def test_a_long_upload_has_the_same_key_however_much_of_it_has_come():
    """
    An upload that ends its targets is taken for a new one each time.

    It is passed on while it comes, and how much of it has come by then differs.
    """
    long = bytes(range(256)) * 4096
    keys = {request_key(*ONE[:3], long[: MAX_HASHED_BODY + more]) for more in (1, 9000)}
    assert len(keys) == 1
    assert request_key(*ONE[:3], long[:MAX_HASHED_BODY]) not in keys
