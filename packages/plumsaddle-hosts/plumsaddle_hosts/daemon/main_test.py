"""Tests of the daemon's start."""

from pathlib import Path

import pytest

from ..utils import settings_file
from .main import EXIT_MISTAKE, read_settings

EXAMPLE = Path(__file__).parents[4] / "examples" / "host.toml"


@pytest.fixture(autouse=True)
def _no_wait(monkeypatch):
    monkeypatch.setattr(settings_file, "SETTLING_TIME", 0.01)


def test_example_settings_are_good():
    assert read_settings(EXAMPLE).id == "entry-1"


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ("id =", "idd =", "1: id: this key is missing"),
        ("leave_wait = 5.0", "leave_wait = -1.0", "4: leave_wait"),
        ("level =", "lvel =", "logs.lvel: unknown key"),
        ("127.0.0.1:7102", "127.0.0.1:7101", "is already used for callers"),
        ("127.0.0.1:7102", "localhost:7102", "listen.operators"),
        ("change-me-to-something-long", "short", "peers.secret"),
        ("append_timeout = 2.0", 'append_timeout = "x"', "platform.append_timeout"),
        ("id =", "id = =", "settings.toml:2: text"),
    ],
)
def test_mistake_ends_the_start_with_2(tmp_path, capsys, old, new, message):
    path = tmp_path / "settings.toml"
    path.write_text(EXAMPLE.read_text().replace(old, new, 1))
    with pytest.raises(SystemExit) as exit_info:
        read_settings(path)
    assert exit_info.value.code == EXIT_MISTAKE
    assert message in capsys.readouterr().err


def test_missing_file_ends_the_start_with_2(tmp_path):
    with pytest.raises(SystemExit) as exit_info:
        read_settings(tmp_path / "none.toml")
    assert exit_info.value.code == EXIT_MISTAKE
