"""Tests of the key that identifies a request across retries."""

import itertools

from .fingerprint import MAX_HASHED_BODY, request_key


def _headers(host=b"records.example", **others):
    pairs = [(b"Host", host), (b"Request-Id", b"1"), (b"Accept", b"*/*")]
    return pairs + [(name.encode(), value) for name, value in others.items()]


REQUEST = ("POST", "/look/a?b=1", _headers(), b"abc")
DIFFERENT = [
    ("PUT", "/look/a?b=1", _headers(), b"abc"),
    ("POST", "/look/a?b=2", _headers(), b"abc"),
    ("POST", "/look/a?b=1", _headers(b"records.examplf"), b"abc"),
    ("POST", "/look/a?b=1", _headers(authorization=b"one"), b"abc"),
    ("POST", "/look/a?b=1", _headers(authorization=b"two"), b"abc"),
    ("POST", "/look/a?b=1", _headers(cookie=b"one"), b"abc"),
    ("POST", "/look/a?b=1", _headers(), b"abd"),
    # The same concatenated text, split at another place.
    ("POST/", "look/a?b=1", _headers(), b"abc"),
]


def test_a_retry_has_the_same_key():
    """
    Guards against counting each retry of a request that crashes targets as another one.

    A retry differs in its request id, deadline and trace.
    """
    retry_headers = [
        (b"HOST", b"Records.Example"),
        (b"request-id", b"2"),
        (b"deadline-ms", b"1200"),
        (b"traceparent", b"00-4bf92f"),
    ]
    assert request_key(*REQUEST) == request_key(
        *REQUEST[:2], retry_headers, *REQUEST[3:]
    )


def test_different_requests_have_different_keys():
    keys = [request_key(*fields) for fields in (REQUEST, *DIFFERENT)]
    assert all(a != b for a, b in itertools.combinations(keys, 2))


def test_a_path_that_is_not_valid_utf_8_has_a_key():
    assert request_key("GET", "/look/\udcff", [], b"")


def test_the_key_of_a_long_upload_does_not_depend_on_how_much_is_buffered():
    """
    Guards against counting each retry of an upload that crashes targets as another one.

    Uploads are streamed, and how much has arrived when the key is made differs.
    """
    upload = bytes(range(256)) * 4096
    keys = {
        request_key(*REQUEST[:3], upload[: MAX_HASHED_BODY + extra])
        for extra in (1, 9000)
    }
    assert len(keys) == 1
    assert request_key(*REQUEST[:3], upload[:MAX_HASHED_BODY]) not in keys
