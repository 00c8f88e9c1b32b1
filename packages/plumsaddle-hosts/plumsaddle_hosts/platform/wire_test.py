"""
Tests of the decoders with malformed records in the store.
"""

import json

import pytest
from hypothesis import example, given, settings, strategies as st
from returns.result import Failure, Success

from plumsaddle_core.core.traffic import (
    NoticeError,
    RequestKind,
    TargetNotices,
    TargetState,
)

from . import wire
from .nodefile import check_host_settings
from .store import _decode_page

VALID_ENTRY = {
    "service": "look",
    "address": "10.0.0.1:8080",
    "zone": "x",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "warmup_left_ms": 500,
    "sequence": 4,
    "born": 1796256000000,
}


def _decode(**changes):
    fields = {key: v for key, v in {**VALID_ENTRY, **changes}.items() if v is not ...}
    return wire.decode_target("i-1", json.dumps(fields).encode(), 5.0)


def test_a_valid_entry_is_decoded():
    target = _decode(state="draining", more={"a": 1}).unwrap()
    assert (target.started_at, target.warmup) == (VALID_ENTRY["born"], 0.5)
    assert target.state is TargetState.DRAINING
    assert _decode(born=...).unwrap().started_at == 0


@pytest.mark.parametrize("name", [name for name in VALID_ENTRY if name != "born"])
def test_an_entry_without_a_field_is_rejected(name):
    assert isinstance(_decode(**{name: ...}), Failure)


@pytest.mark.parametrize(
    "changes",
    [
        {"slots": "2"},
        {"slots": True},
        {"slots": 0},
        {"slots": -4},
        {"slots": 10**30},
        {"slots": None},
        {"address": "10.0.0.1"},
        {"address": "10.0.0.1:"},
        {"address": "10.0.0.1:0"},
        {"address": "10.0.0.1:99999"},
        {"address": "10.0.0.1:" + "9" * 5000},
        {"service": [[[[{}]]]]},
        {"address": "10.0.0.1:８０"},
        {"address": "somewhere:80"},
        {"address": 8080},
        {"state": "resting"},
        {"state": None},
        {"service": ["look"]},
        {"zone": 3},
        {"warmup_left_ms": -1},
        {"warmup_left_ms": "0"},
        {"warmup_left_ms": 1e300},
        {"sequence": "4"},
        {"born": "1796256000000"},
        {"born": True},
        {"born": -1},
        {"born": 10**20},
    ],
)
def test_an_entry_with_an_invalid_field_is_rejected(changes):
    """
    Guards against requests to invalid addresses or beyond a target's slots.

    Fields of the wrong type, values out of range and unknown states are rejected.
    """
    result = _decode(**changes)
    assert isinstance(result, Failure)
    assert isinstance(result.failure(), str)


def test_an_id_unfit_for_a_header_is_rejected():
    data = json.dumps(VALID_ENTRY).encode()
    for target_id in ("", "i 1", "i-1\r\nX: y", "ï"):
        if target_id:
            assert isinstance(wire.decode_target(target_id, data, 0.0), Failure)


VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)


@given(st.dictionaries(st.sampled_from([*VALID_ENTRY, "other"]), VALUES))
@example({"service": "\ud800"})
@settings(max_examples=200, deadline=None)
def test_decoding_an_entry_never_raises(changes):
    data = json.dumps({**VALID_ENTRY, **changes}).encode()
    result = wire.decode_target("i-1", data, 0.0)
    assert isinstance(result, Success | Failure)


@given(st.binary(max_size=200))
@example(b"\xff\xfe")
@example(b"[]")
@example(b"null")
@example(b'{"service":')
@example(b"[" * 10_000)
@settings(max_examples=300, deadline=None)
def test_malformed_bytes_never_raise(data):
    assert isinstance(wire.decode_target("i-1", data, 0.0), Failure)
    assert wire.decode_configuration(data) is None, len(data)
    text = data.decode("utf-8", "replace")
    assert isinstance(check_host_settings(text), Success | Failure)


CONFIGURATION = {
    "version": 3,
    "resources": [
        {
            "entry_kind": "routes",
            "metadata": {"name": "r"},
            "spec": {
                "host": "h.example",
                "path_prefix": "/a/",
                "route_type": "safe",
                "timeout_ms": 1000,
                "target_latency_ms": 500,
                "service": "look",
            },
        },
        {
            "entry_kind": "limits",
            "metadata": {},
            "spec": {
                "max_header_bytes": 1,
                "max_body_bytes": 1,
                "header_timeout_ms": 1,
                "idle_timeout_ms": 1,
            },
        },
    ],
}


def _encode_with_kind(kind):
    text = json.loads(json.dumps(CONFIGURATION))
    text["resources"][0]["spec"]["route_type"] = kind
    return json.dumps(text).encode()


# Guards against serving nothing since one route has large responses.
def test_a_configuration_with_downloads_is_decoded():
    cfg = wire.decode_configuration(_encode_with_kind("download"))
    assert cfg is not None
    assert cfg.routes[0].kind is RequestKind.DOWNLOAD
    assert cfg.routes[0].kind.is_idempotent


# Guards against repeating requests of a kind that may not be repeated.
def test_an_unknown_kind_makes_a_configuration_invalid():
    assert wire.decode_configuration(_encode_with_kind("stream")) is None


@given(
    st.sampled_from(["version", "resources", 0, 1]),
    st.sampled_from(["entry_kind", "metadata", "spec", "host", "timeout_ms"]),
    VALUES,
)
@example("version", "", float("inf"))
@settings(max_examples=200, deadline=None)
def test_decoding_a_configuration_never_raises(where, field, value):
    text = json.loads(json.dumps(CONFIGURATION))
    if isinstance(where, str):
        text[where] = value
    elif field in ("entry_kind", "metadata", "spec"):
        text["resources"][where][field] = value
    else:
        text["resources"][where]["spec"][field] = value
    wire.decode_configuration(json.dumps(text).encode())
    assert wire.decode_configuration(json.dumps(CONFIGURATION).encode()) is not None


def _encode_record(content):
    return len(content).to_bytes(4, "big") + content


def test_a_malformed_record_does_not_affect_others():
    """
    Guards against a page that stays unreadable because of one malformed record.

    Such a record is empty, has a key that isn't UTF-8, or is shorter than its key.
    """
    valid = json.dumps(VALID_ENTRY).encode()
    rows = [b"", b"\x02\xff\xfevalue", b"\x03i-1" + valid, b"\xffshort"]
    data = bytes(16) + b"".join(_encode_record(row) for row in rows)
    page = _decode_page(data, 10)
    assert page.next_offset == 14
    assert page.records[2].key == "i-1"
    assert page.records[2].value == valid


def test_the_notices_of_a_target_are_decoded():
    headers = [
        (b"Server-Limit", b"2.5"),
        (b"SERVER-LEAVING", b"1"),
        (b"retry-after", b"0.75"),
        (b"Keep-Alive", b"max=9, timeout=4"),
    ]
    expected = TargetNotices(2.5, True, 0.75, 4)
    assert wire.decode_notices(503, headers) == expected
    assert wire.decode_notices(200, headers) == expected._replace(retry_after=None)
    assert wire.decode_notices(200, []) == TargetNotices()


@pytest.mark.parametrize("name", [b"Server-Limit", b"SERVER-LIMIT", b"server-limit"])
@pytest.mark.parametrize("value", [b" 2.3 ", b"2.3\t", b"2.3"])
def test_white_space_and_case_do_not_hide_a_notice(name, value):
    """Guards against a target without a limit since its header is padded."""
    assert wire.decode_notices(200, [(name, value)]).rate_limit == 2.3


def test_the_most_restrictive_of_several_notices_applies():
    """Guards against a second header that lifts what the first one asks for."""
    headers = [
        (b"Server-Limit", b"9"),
        (b"Server-Limit", b"2"),
        (b"Server-Leaving", b"1"),
        (b"Server-Leaving", b"0"),
        (b"Retry-After", b"1"),
        (b"Retry-After", b"3"),
        (b"Retry-After", b"soon"),
    ]
    assert wire.decode_notices(503, headers) == TargetNotices(2.0, True, 3.0)


@pytest.mark.parametrize("header", [wire.RATE_LIMIT, wire.DRAINING, wire.RETRY_AFTER])
@pytest.mark.parametrize(
    "text",
    [b"", b"nan", b"-1", b"1e3", b"0x1", b"\xb2", b"2,3", b"yes", b"9" * 400]
    + [b"Thu, 03 Dec 2026 12:00:00 GMT"],
)
def test_a_malformed_notice_is_reported_and_changes_nothing(header, text):
    """Guards against a target shut out by a mistake in a header."""
    notices = wire.decode_notices(503, [(header.encode(), text)])
    error = NoticeError(header, text[:40].decode("latin-1"))
    assert notices == TargetNotices(errors=(error,))


@given(st.integers(100, 599), st.lists(st.tuples(st.binary(), st.binary())))
def test_decoding_notices_never_raises(status, headers):
    """Guards against a connection lost to a header that nobody foresaw."""
    names = [wire.RATE_LIMIT, wire.DRAINING, wire.RETRY_AFTER, wire.KEEP_ALIVE]
    named = [(names[len(name) % len(names)].encode(), value) for name, value in headers]
    wire.decode_notices(status, headers + named)


def _version(number, deadlines):
    text = json.loads(json.dumps(CONFIGURATION))
    text["version"] = number
    route, limits = text["resources"]
    routes = [
        {**route, "metadata": {"name": f"r{n}"}, "spec": {**route["spec"], **spec}}
        for n, spec in enumerate({"timeout_ms": 1000 + d} for d in deadlines)
    ]
    text["resources"] = [*routes, limits]
    return json.dumps(text).encode()


@given(st.lists(st.lists(st.integers(0, 2), max_size=6), min_size=1, max_size=4))
@settings(max_examples=100, deadline=None)
def test_a_version_is_decoded_alike_whatever_came_before(versions):
    """Guards against an entry of a former version that stays in force."""
    decoder = wire.ConfigurationDecoder()
    for number, deadlines in enumerate(versions):
        data = _version(number, deadlines)
        assert decoder.decode(data) == wire.decode_configuration(data)
        assert decoder.decode(data[:-1]) is None


def test_only_changed_entries_of_a_version_are_decoded(monkeypatch):
    """Guards against delaying requests while thousands of routes are decoded."""
    decoded = []
    decode = wire._decode_resource
    monkeypatch.setattr(
        wire, "_decode_resource", lambda raw: decoded.append(raw) or decode(raw)
    )
    decoder = wire.ConfigurationDecoder()
    decoder.decode(_version(1, range(50)))
    decoded.clear()
    cfg = decoder.decode(_version(2, [*range(49), 99]))
    assert len(decoded) == 1
    assert cfg.routes[49].timeout == 1.099


@pytest.mark.parametrize(
    ("more", "expected"),
    [
        ("", 50_000_000),
        ("memory_mb = 200", 50_000_000),
        ("memory_mb = 552.0", 138_000_000),
        ("memory_mb = 552\n[callers]\nbuffered_mb = 20", 20_000_000),
        ("memory_mb = 0", None),
        ("[callers]\nbuffered_mb = true", None),
        ("callers = 3", None),
    ],
)
def test_the_bound_for_slow_callers_comes_from_the_memory_limit(more, expected):
    """Guards against hosts that hold more for slow callers than they have."""
    address = "127.0.0.1:1"
    text = (
        f'id = "h"\ndata_centre = "x"\nstore = "{address}"\n{more}\n[listen]\n'
        + "".join(f'{name} = "{address}"\n' for name in ("callers", "ready", "hosts"))
    )
    result = check_host_settings(text)
    if expected is None:
        assert isinstance(result, Failure)
    else:
        assert result.unwrap().buffered_bytes == expected
