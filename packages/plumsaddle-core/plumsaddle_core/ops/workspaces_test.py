"""
Tests of finding a request's workspace by its key.
"""

import pytest

from ..core.traffic import Workspace
from .workspaces import index_keys, key_digest, read_key, short_digest

A, B, C = (key_digest(name) for name in (b"a", b"b", b"c"))


def test_each_key_leads_to_its_workspace():
    one, two = Workspace("one", (A, B)), Workspace("two", (C,))
    assert index_keys([one, two]) == ({A: one, B: one, C: two}, set())


def test_a_key_of_two_workspaces_is_valid_for_neither():
    """
    Guards against access to another workspace by a key published for both.
    """
    one, two = Workspace("one", (A, B)), Workspace("two", (A,))
    index, shared = index_keys([one, two])
    assert index == {B: one}
    assert shared == {A}


def test_a_key_listed_twice_by_one_workspace_is_valid():
    one = Workspace("one", (A, A))
    assert index_keys([one]) == ({A: one}, set())


@pytest.mark.parametrize(
    "values, key",
    [
        ([b"Bearer abc"], b"abc"),
        ([b"bearer  abc "], b"abc"),
        ([b"BEARER abc"], b"abc"),
        ([], None),
        ([b""], None),
        ([b"Bearer"], None),
        ([b"Bearer "], None),
        ([b"Basic abc"], None),
        ([b"abc"], None),
        ([b"Bearer abc", b"Bearer abd"], None),
        ([b"Bearer abc", b"Bearer abc"], None),
    ],
)
def test_only_a_single_bearer_key_is_read(values, key):
    headers = [(b"Host", b"x"), *((b"aUthorization", value) for value in values)]
    assert read_key(headers) == key


def test_a_short_digest_does_not_reveal_the_key():
    assert short_digest(key_digest(b"secret")) == key_digest(b"secret").hex()[:8]
    assert len(short_digest(A)) == 8
