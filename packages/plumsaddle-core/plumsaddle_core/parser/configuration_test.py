"""Tests of the configuration's checks."""

from pathlib import Path

import pytest

from .configuration import check_configuration

EXAMPLES = Path(__file__).parents[4] / "examples"
GOOD = """
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
def test_examples_are_good(name):
    text = (EXAMPLES / f"{name}.toml").read_text()
    assert check_configuration(text, name).unwrap().deployment == name


def test_all_mistakes_of_types_come_at_once_with_their_lines():
    text = GOOD.replace("floor = 1", "floor = 0", 1).replace('"GET"', "7", 1)
    text = text.replace("hosts_max", "hosts_mx")
    found = messages(text)
    assert [line for line, _ in found] == [3, 7, 27]
    assert found[0][1] == "unknown key"


@pytest.mark.parametrize(
    ("old", "new", "line", "message"),
    [
        ("a-2", "a-1", 11, "target a-1 stands twice"),
        ("10.0.0.2", "10.0.0.1", 11, "address 10.0.0.1:80 is already a-1's"),
        ("floor = 1", "floor = 3", 7, "floor 3 is above the 2 targets that stay"),
        ('["b"]', '["c"]', 10, "there is no service c"),
        ('["b"]', '["a"]', 10, "a depends on itself in the end"),
        ('service = "a"', 'service = "z"', 25, "there is no service z"),
        ("connections = 8", "connections = 3", 9, "fewer than one for each of 4 hosts"),
        ('"/b"', '"/a"', 30, "GET /a stands twice"),
    ],
)
def test_mistakes_that_only_the_whole_shows(old, new, line, message):
    assert (line, message) in messages(GOOD.replace(old, new, 1))


def test_text_that_is_no_toml():
    assert messages("a = = 1")[0][0] == 1


def test_service_with_only_orders_needs_a_probe_path():
    text = GOOD.replace('"idempotent"', '"order"', 1)
    assert any("probe_path" in message for _, message in messages(text))
