"""Tests of configuration checks."""

from pathlib import Path

import pytest
from returns.result import Success

from .configuration import check_configuration

EXAMPLES = Path(__file__).parents[4] / "examples"
VALID = """
deployment = "d"
hosts_max = 4

[[service]]
name = "a"
floor = 1
slots = 2
connections = 8
depends_on = ["b"]
targets = [
    { id = "a-1", address = "10.0.0.1:80", data_centre = "x" },
    { id = "a-2", address = "10.0.0.2:80", data_centre = "x" },
]

[[service]]
name = "b"
floor = 1
slots = 2
connections = 8
targets = [{ id = "b-1", address = "10.0.0.3:80", data_centre = "x" }]

[[route]]
prefix = "/a"
service = "a"
kind = "idempotent"
methods = ["GET"]

[[route]]
prefix = "/b"
service = "b"
kind = "idempotent"
methods = ["GET"]
"""


def messages(text):
    return [(e.line, e.message) for e in check_configuration(text, "f").failure()]


@pytest.mark.parametrize("name", ["archiefpoort", "atlas-sonore"])
def test_examples_are_valid(name):
    text = (EXAMPLES / f"{name}.toml").read_text()
    assert check_configuration(text, name).unwrap().deployment == name


def test_type_errors_are_reported_together_with_their_lines():
    text = VALID.replace("floor = 1", "floor = 0", 1).replace('"GET"', "7", 1)
    text = text.replace("hosts_max", "hosts_mx")
    found = messages(text)
    assert [line for line, _ in found] == [3, 7, 27]
    assert found[0][1] == "unknown key"


@pytest.mark.parametrize(
    ("old", "new", "line", "message"),
    [
        ("a-2", "a-1", 11, "target a-1 is defined twice"),
        ("10.0.0.2", "10.0.0.1", 11, "address 10.0.0.1:80 is already used by a-1"),
        ("floor = 1", "floor = 3", 7, "floor 3 exceeds the 2 targets not leaving"),
        ('["b"]', '["c"]', 10, "unknown service c"),
        ('["b"]', '["a"]', 10, "dependency cycle through a"),
        ('service = "a"', 'service = "z"', 25, "unknown service z"),
        ("connections = 8", "connections = 3", 9, "less than one per host for 4 hosts"),
        ('"/b"', '"/a"', 30, "GET /a is defined twice"),
    ],
)
def test_inconsistencies_between_entries_are_reported(old, new, line, message):
    assert (line, message) in messages(VALID.replace(old, new, 1))


def test_invalid_toml_is_reported():
    assert messages("a = = 1")[0][0] == 1


def test_service_without_idempotent_route_needs_probe_path():
    text = VALID.replace('"idempotent"', '"order"', 1)
    assert any("probe_path" in message for _, message in messages(text))


# Guards against a check that rejects what the hosts can serve.
def test_a_service_with_downloads_needs_no_probe_path():
    text = VALID.replace('kind = "idempotent"', 'kind = "download"')
    assert isinstance(check_configuration(text, "f"), Success)
